package org.plantainspur.gateway.http;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Decodes responses on a connection that carries one request at a time, and detects bytes
 * that belong to no response. A server in trouble may send a response once more, whole or
 * in part. A part that stays in the decoder would be taken for the beginning of the next
 * response, with the status and headers of the earlier one.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {

	static final String STATUS_LINE_START = "HTTP/1.";

	static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] \\d{3}");

	private static final Pattern VERSION = Pattern.compile("HTTP/1\\.\\d");

	/**
	 * The status codes that a response may have (RFC 9110, section 15): the final ones,
	 * and the interim ones that are defined. Any other below 200 would be skipped as an
	 * interim response, and the one behind it awaited.
	 */
	private static final Pattern STATUS_CODE = Pattern.compile("10[0-3]|[2-5][0-9]{2}");

	private final long maxBytes;

	private boolean awaitingResponse;

	private boolean headRequest;

	private long receivedBytes;

	private boolean betweenResponses = true;

	/**
	 * Creates a decoder that awaits no response yet.
	 * @param maxBytes the most bytes that may arrive for one request
	 */
	StrictResponseDecoder(long maxBytes) {
		this.maxBytes = maxBytes;
	}

	/**
	 * Prepares for the response to a request; must be called before the request is
	 * written.
	 * @param method the method of the request
	 */
	void awaitResponse(HttpMethod method) {
		this.awaitingResponse = true;
		this.headRequest = method.equals(HttpMethod.HEAD);
		this.receivedBytes = 0;
	}

	/**
	 * Returns whether anything has arrived since the wait began.
	 * @return {@code false} if the server has sent no byte of a response
	 */
	boolean hasReceivedBytes() {
		return this.receivedBytes > 0;
	}

	/**
	 * Returns whether nothing but the end of the connection ends the body of a response.
	 * @param response the head of a response to the current request
	 * @return {@code true} if no other response can follow on the connection
	 */
	boolean lastsUntilClose(HttpResponse response) {
		return !isContentAlwaysEmpty(response) && !HttpUtil.isContentLengthSet(response)
				&& !HttpUtil.isTransferEncodingChunked(response);
	}

	/**
	 * Returns the bytes that have arrived and are not decoded.
	 * @return the decoder's own buffer, which must not be changed
	 */
	ByteBuf bytesBehind() {
		return internalBuffer();
	}

	/**
	 * Ends the wait; must be called when the response is complete.
	 * @return whether nothing has arrived behind the response, so that the connection may
	 * carry another request
	 */
	boolean responseComplete() {
		this.awaitingResponse = false;
		return actualReadableBytes() == 0;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
		this.receivedBytes += (message instanceof ByteBuf buffer) ? buffer.readableBytes() : 0;
		if (this.awaitingResponse && this.receivedBytes <= this.maxBytes) {
			super.channelRead(context, message);
			return;
		}
		ReferenceCountUtil.release(message);
		context.fireExceptionCaught(this.awaitingResponse
				? new TooLongFrameException("the server sent more than " + this.maxBytes + " bytes for one request")
				: new CorruptedFrameException("the server sent bytes that belong to no request"));
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
		if (this.awaitingResponse && this.betweenResponses) {
			checkStart(buffer);
		}
		int decodedBefore = out.size();
		super.decode(context, buffer, out);
		for (Object decoded : out.subList(decodedBefore, out.size())) {
			this.betweenResponses = decoded instanceof LastHttpContent;
			if (decoded instanceof HttpResponse response && response.decoderResult().isSuccess()
					&& isMerged(response)) {
				response.setDecoderResult(
						DecoderResult.failure(new IllegalArgumentException("a second status line within the head")));
			}
		}
	}

	// An exception makes the decoder report a malformed response.
	@Override
	protected HttpMessage createMessage(String[] statusLine) {
		if (!VERSION.matcher(statusLine[0]).matches() || !STATUS_CODE.matcher(statusLine[1]).matches()) {
			throw new IllegalArgumentException(
					"the status line begins with '" + statusLine[0] + " " + statusLine[1] + "'");
		}
		return super.createMessage(statusLine);
	}

	// Checks the start of a response before its first line is complete. Bytes that are no
	// response may have no line end.
	private void checkStart(ByteBuf buffer) {
		int from = buffer.readerIndex();
		while (from < buffer.writerIndex() && isIgnoredBeforeStatusLine(buffer.getByte(from))) {
			from++;
		}
		int length = Math.min(STATUS_LINE_START.length(), buffer.writerIndex() - from);
		if (!STATUS_LINE_START.startsWith(buffer.toString(from, length, StandardCharsets.ISO_8859_1))) {
			throw new CorruptedFrameException("the server sent bytes that do not begin a response");
		}
		this.betweenResponses = length < STATUS_LINE_START.length();
	}

	private static boolean isIgnoredBeforeStatusLine(byte character) {
		return (character >= 0 && character <= ' ') || character == 127;
	}

	// Returns whether the head consists of the beginning of one response and of another
	// one, whose status line then follows anywhere in the first line or in a header.
	private static boolean isMerged(HttpResponse response) {
		if (response.status().reasonPhrase().contains(STATUS_LINE_START)) {
			return true;
		}
		for (Map.Entry<String, String> header : response.headers()) {
			if (header.getValue().contains(STATUS_LINE_START) && STATUS_LINE.matcher(header.getValue()).find()) {
				return true;
			}
		}
		return false;
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		return this.headRequest || super.isContentAlwaysEmpty(message);
	}

}
