package org.plantainspur.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;

import org.plantainspur.core.target.AttemptOutcome;

/**
 * The path of one attempt to its target. All calls come from one event loop.
 */
interface AttemptPath {

	/**
	 * Opens the path and tells the listener, possibly before this method returns.
	 * @param listener told what happens on the path
	 */
	void open(Listener listener);

	/**
	 * Sends the request. Called once, after {@link Listener#opened}.
	 * @param request the request as the target gets it; the path takes over its reference
	 */
	void send(FullHttpRequest request);

	/** Ends the attempt; the listener is not called any more. */
	void cancel();

	/**
	 * Called for an attempt that was sent and has had no response in the usual time, or
	 * none when its time is over.
	 * @return the outcome if the attempt ends now, with what it tells of the target
	 */
	AttemptOutcome timedOut();

	/**
	 * Returns the path as text for the log.
	 * @return empty for a direct path
	 */
	String description();

	/**
	 * Told what happens on a path. After {@link #notOpened}, {@link #responseReceived} or
	 * {@link #ended} nothing follows.
	 */
	interface Listener {

		/** Called when the request may be sent. */
		void opened();

		/** Called when the path takes longer to open than usual. */
		void overdue();

		/**
		 * Called when the path could not be opened.
		 * @param reason the observed error, as text for the log
		 */
		void notOpened(String reason);

		/**
		 * Called with the whole response of the target.
		 * @param response the status line and headers
		 * @param body the body; the listener takes over its reference
		 */
		void responseReceived(HttpResponse response, ByteBuf body);

		/**
		 * Called when the attempt ended without a response of the target.
		 * @param outcome how it ended
		 */
		void ended(AttemptOutcome outcome);

	}

}
