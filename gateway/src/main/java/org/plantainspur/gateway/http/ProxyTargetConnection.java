package org.plantainspur.gateway.http;

import java.util.HashSet;
import java.util.Set;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;

import org.plantainspur.core.proxy.BufferBudget;

/**
 * One connection to a target, used by one request at a time. After a response that is
 * incomplete, or bytes that belong to no request, it is closed and not used again. What a
 * target may send is bounded in each state, as a target in trouble may send bytes without
 * end. All methods run on the connection's event loop.
 */
final class ProxyTargetConnection extends ChannelInboundHandlerAdapter {

	/**
	 * The longest body of a response. Responses are buffered whole and the host has
	 * little memory, so an attempt with a longer one fails.
	 */
	static final int MAX_BODY_BYTES = 8 << 20;

	/**
	 * The most bytes of any kind that a target may send for one request. Beyond the body
	 * it leaves room for heads, chunk sizes, interim responses and responses to earlier
	 * requests.
	 */
	private static final long MAX_RECEIVED_BYTES = MAX_BODY_BYTES + (1 << 20);

	/**
	 * The most interim responses, and responses to earlier requests, that are skipped
	 * while one response is awaited.
	 */
	private static final int MAX_SKIPPED_RESPONSES = 8;

	/**
	 * The most requests that a connection carries, which bounds the ids that it
	 * remembers.
	 */
	static final int MAX_CARRIED_REQUESTS = 200;

	private static final int STATUS_SWITCHING_PROTOCOLS = 101;

	private final String requestIdHeader;

	private final BufferBudget bufferBudget;

	private final StateListener stateListener;

	private final StrictResponseDecoder decoder = new StrictResponseDecoder(MAX_RECEIVED_BYTES);

	private final EmbeddedHeadDetector embeddedHeadDetector;

	private @Nullable Channel channel;

	private @Nullable ResponseListener listener;

	private final Set<String> carriedIds = new HashSet<>();

	private String requestId = "";

	private boolean requestWritten;

	private boolean connectionFailed;

	private @Nullable HttpResponse responseHead;

	private boolean skipping;

	private int skippedResponses;

	private boolean hadForeignResponse;

	private ByteBuf body = Unpooled.EMPTY_BUFFER;

	private long keepAliveTimeoutMs = DEFAULT_KEEP_ALIVE_TIMEOUT_MS;

	/**
	 * The keep-alive timeout of targets that announce none. Most servers keep idle
	 * connections for longer.
	 */
	static final long DEFAULT_KEEP_ALIVE_TIMEOUT_MS = 5_000;

	ProxyTargetConnection(String requestIdHeader, BufferBudget bufferBudget, StateListener stateListener) {
		this.requestIdHeader = requestIdHeader;
		this.bufferBudget = bufferBudget;
		this.stateListener = stateListener;
		this.embeddedHeadDetector = new EmbeddedHeadDetector(requestIdHeader);
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		this.channel = context.channel();
	}

	Channel channel() {
		Channel openChannel = this.channel;
		if (openChannel == null) {
			throw new IllegalStateException("the connection has no channel yet");
		}
		return openChannel;
	}

	long keepAliveTimeoutMs() {
		return this.keepAliveTimeoutMs;
	}

	// Adds the handlers of this connection to the pipeline of its new channel.
	void addTo(ChannelPipeline pipeline) {
		pipeline.addLast(this.decoder, new HttpRequestEncoder(), this);
	}

	// Returns whether a request with this id was sent on this connection before. A late
	// copy of its response could not be told from the response to a repetition, whatever
	// the connection has carried in between.
	boolean hasCarried(String id) {
		return this.carriedIds.contains(id);
	}

	int carriedCount() {
		return this.carriedIds.size();
	}

	void send(FullHttpRequest request, String id, ResponseListener responseListener) {
		this.listener = responseListener;
		this.requestId = id;
		this.carriedIds.add(id);
		this.requestWritten = false;
		this.responseHead = null;
		this.skippedResponses = 0;
		this.decoder.awaitResponse(request.method());
		channel().writeAndFlush(request).addListener((ChannelFutureListener) (future) -> {
			if (future.isSuccess()) {
				this.requestWritten = true;
			}
			else {
				fail("writing the request failed: " + future.cause());
			}
		});
	}

	/** Cancels the request: closes the connection, which the target can notice. */
	void cancel() {
		this.listener = null;
		releaseBody();
		channel().close();
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		try {
			read(context, message);
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void read(ChannelHandlerContext context, Object message) {
		if (this.listener == null) {
			context.close();
			return;
		}
		if (message instanceof HttpResponse response) {
			if (response.decoderResult().isFailure()) {
				fail("the response is not valid HTTP: " + response.decoderResult().cause());
				return;
			}
			if (response.status().code() == STATUS_SWITCHING_PROTOCOLS) {
				fail("the target switched to another protocol");
				return;
			}
			// Interim responses, and responses to an earlier request of the connection,
			// are skipped.
			boolean foreign = response.status().code() >= 200
					&& !this.requestId.equals(response.headers().get(this.requestIdHeader));
			if (foreign) {
				this.hadForeignResponse = true;
				this.stateListener.receivedUnexpected(UnexpectedBytes.OTHER_RESPONSE, this.requestId);
			}
			this.skipping = response.status().code() < 200 || foreign;
			if (this.skipping && ++this.skippedResponses > MAX_SKIPPED_RESPONSES) {
				fail("the target sent more than " + MAX_SKIPPED_RESPONSES + " other responses");
				return;
			}
			if (foreign && this.decoder.lastsUntilClose(response)) {
				fail("the target sent another response, which lasts until it closes the connection");
				return;
			}
			this.responseHead = response;
			releaseBody();
		}
		if (message instanceof HttpContent content) {
			// The decoder drops all bytes after malformed ones, with the awaited
			// response.
			if (content.decoderResult().isFailure()) {
				fail("the body of the response is malformed: " + content.decoderResult().cause());
				return;
			}
			if (!this.skipping) {
				append(content.content());
			}
		}
		if (message instanceof LastHttpContent) {
			responseComplete();
		}
	}

	private void append(ByteBuf content) {
		if (!content.isReadable()) {
			return;
		}
		if (this.body.readableBytes() + content.readableBytes() > MAX_BODY_BYTES) {
			fail("the body of the response is larger than " + MAX_BODY_BYTES + " bytes");
			return;
		}
		try {
			if (this.body == Unpooled.EMPTY_BUFFER) {
				this.body = new BudgetedByteBuf(this.bufferBudget, MAX_BODY_BYTES);
			}
			this.body.writeBytes(content);
		}
		catch (BudgetedByteBuf.ExhaustedException ex) {
			fail(String.valueOf(ex.getMessage()));
		}
	}

	private void releaseBody() {
		this.body.release();
		this.body = Unpooled.EMPTY_BUFFER;
	}

	private void responseComplete() {
		HttpResponse response = this.responseHead;
		ResponseListener responseListener = this.listener;
		if (response == null || responseListener == null) {
			return;
		}
		this.responseHead = null;
		if (this.skipping) {
			return;
		}
		boolean delimited = !this.decoder.lastsUntilClose(response);
		if (!delimited && this.connectionFailed) {
			fail("the connection failed before the end of the response");
			return;
		}
		if (this.embeddedHeadDetector.isIn(response, this.body, this.decoder.bytesBehind(), this.carriedIds)) {
			this.stateListener.receivedUnexpected(UnexpectedBytes.EMBEDDED_RESPONSE, this.requestId);
			fail("the body of the response contains the head of another response");
			return;
		}
		this.listener = null;
		ByteBuf wholeBody = this.body;
		this.body = Unpooled.EMPTY_BUFFER;
		boolean endsCleanly = this.decoder.responseComplete();
		if (!endsCleanly) {
			this.stateListener.receivedUnexpected(UnexpectedBytes.BEHIND_RESPONSE, this.requestId);
		}
		boolean reusable = endsCleanly && delimited && !this.hadForeignResponse && this.requestWritten
				&& HttpUtil.isKeepAlive(response) && channel().isActive()
				&& this.carriedIds.size() < MAX_CARRIED_REQUESTS;
		readKeepAliveTimeout(response);
		responseListener.responseReceived(response, wholeBody);
		if (reusable) {
			this.stateListener.becameIdle(this);
		}
		else {
			channel().close();
		}
	}

	private void readKeepAliveTimeout(HttpResponse response) {
		String keepAlive = response.headers().get(HttpHeaderNames.KEEP_ALIVE);
		if (keepAlive == null) {
			return;
		}
		for (String parameter : keepAlive.split(",")) {
			String[] nameAndValue = parameter.trim().split("=", 2);
			if (nameAndValue.length == 2 && nameAndValue[0].equalsIgnoreCase("timeout")
					&& nameAndValue[1].matches("\\d{1,6}")) {
				this.keepAliveTimeoutMs = Long.parseLong(nameAndValue[1]) * 1_000;
			}
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		this.connectionFailed = true;
		if (this.listener == null && context.channel().isOpen() && cause instanceof CorruptedFrameException) {
			this.stateListener.receivedUnexpected(UnexpectedBytes.WHILE_IDLE, this.requestId);
		}
		connectionLost("connection failed: " + cause.getMessage());
		context.close();
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		connectionLost("the target closed the connection");
		this.stateListener.closed(this);
	}

	private void connectionLost(String reason) {
		ResponseListener responseListener = this.listener;
		if (responseListener == null || this.decoder.hasReceivedBytes()) {
			fail(reason);
			return;
		}
		this.listener = null;
		channel().close();
		responseListener.connectionLost(reason);
	}

	private void fail(String reason) {
		ResponseListener responseListener = this.listener;
		this.listener = null;
		this.responseHead = null;
		releaseBody();
		channel().close();
		if (responseListener != null) {
			responseListener.failed(reason);
		}
	}

	/**
	 * Told once how a request ended.
	 */
	interface ResponseListener {

		void responseReceived(HttpResponse response, ByteBuf body);

		/**
		 * Called when the response is malformed, incomplete or not the target's.
		 * @param reason the observed error, as text for the log
		 */
		void failed(String reason);

		/**
		 * Called when the connection ended before any byte of a response.
		 * @param reason the observed error, as text for the log
		 */
		void connectionLost(String reason);

	}

	/**
	 * Bytes of a target that belong to no response that is awaited.
	 */
	enum UnexpectedBytes {

		/** A response to another request, while one was awaited. */
		OTHER_RESPONSE,

		/** Bytes that arrived together with the end of a response. */
		BEHIND_RESPONSE,

		/** The head of a response in the body of another one. */
		EMBEDDED_RESPONSE,

		/** Bytes that arrived while the connection was idle. */
		WHILE_IDLE

	}

	/**
	 * Told when a connection is ready for another request, when it has closed, and what
	 * arrived on it besides the awaited responses.
	 */
	interface StateListener {

		/**
		 * Called when bytes arrived that belong to no awaited response.
		 * @param kind what arrived
		 * @param requestId the id of the latest request on the connection
		 */
		void receivedUnexpected(UnexpectedBytes kind, String requestId);

		void becameIdle(ProxyTargetConnection connection);

		void closed(ProxyTargetConnection connection);

	}

}
