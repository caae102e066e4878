package org.plantainspur.gateway.http;

import java.util.ArrayDeque;
import java.util.Deque;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;

import org.plantainspur.core.proxy.BufferBudget;
import org.plantainspur.core.time.Clock;

/**
 * Takes the bodies of one caller's requests out of the host's memory for bodies while
 * they arrive. Whoever receives a complete request must give its bytes back to the
 * budget. A request that the budget does not allow is passed on without its body, with
 * {@link BudgetedByteBuf.ExhaustedException} as its decoder result, and nothing after it
 * is read.
 */
final class RequestBodyLimiter extends ChannelInboundHandlerAdapter {

	private final BufferBudget budget;

	private final long maxBodyBytes;

	private final Clock clock;

	/** When the heads of the requests arrived that the next handler will pass on. */
	private final Deque<Long> arrivalsMs = new ArrayDeque<>();

	private @Nullable HttpRequest head;

	private long bodyBytes;

	private long takenBytes;

	// Whether the body is longer than the limit, so that the next handler discards it.
	private boolean tooLong;

	private boolean exhausted;

	/**
	 * Creates a limiter for one connection.
	 * @param budget the host's memory for bodies
	 * @param maxBodyBytes the longest body that the next handler accepts
	 * @param clock the host's clock
	 */
	RequestBodyLimiter(BufferBudget budget, long maxBodyBytes, Clock clock) {
		this.budget = budget;
		this.clock = clock;
		this.maxBodyBytes = maxBodyBytes;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (this.exhausted) {
			ReferenceCountUtil.release(message);
			return;
		}
		if (message instanceof HttpRequest request) {
			this.head = request;
			this.bodyBytes = 0;
			// The length of a malformed request may be no number.
			this.tooLong = request.decoderResult().isSuccess()
					&& HttpUtil.getContentLength(request, -1L) > this.maxBodyBytes;
			if (!this.tooLong) {
				this.arrivalsMs.addLast(this.clock.millis());
			}
		}
		if (message instanceof HttpContent content && !take(content.content().readableBytes())) {
			this.exhausted = true;
			release();
			ReferenceCountUtil.release(message);
			context.fireChannelRead(exhaustedRequest(content.content().readableBytes()));
			return;
		}
		if (message instanceof LastHttpContent) {
			this.takenBytes = 0;
		}
		context.fireChannelRead(message);
	}

	/**
	 * Returns when the head of the next complete request arrived. Callers' deadlines
	 * count from there, and a long body may take a part of that time.
	 * @return the clock's reading in milliseconds; must be called once for each complete
	 * request
	 */
	long takeArrivalMs() {
		Long arrivalMs = this.arrivalsMs.pollFirst();
		return (arrivalMs != null) ? arrivalMs : this.clock.millis();
	}

	private boolean take(int bytes) {
		this.bodyBytes += bytes;
		if (!this.tooLong && this.bodyBytes > this.maxBodyBytes) {
			this.tooLong = true;
			this.arrivalsMs.pollLast();
			release();
		}
		if (this.tooLong) {
			return true;
		}
		if (bytes > 0 && !this.budget.tryTake(bytes, this.bodyBytes)) {
			return false;
		}
		this.takenBytes += bytes;
		return true;
	}

	private FullHttpRequest exhaustedRequest(int bytes) {
		HttpRequest request = this.head;
		if (request == null) {
			throw new IllegalStateException("content arrived before the head of its request");
		}
		FullHttpRequest withoutBody = new DefaultFullHttpRequest(request.protocolVersion(), request.method(),
				request.uri(), Unpooled.EMPTY_BUFFER, request.headers(), request.headers().copy().clear());
		withoutBody.setDecoderResult(DecoderResult.failure(new BudgetedByteBuf.ExhaustedException(bytes)));
		return withoutBody;
	}

	private void release() {
		this.budget.release(this.takenBytes);
		this.takenBytes = 0;
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		release();
		context.fireChannelInactive();
	}

}
