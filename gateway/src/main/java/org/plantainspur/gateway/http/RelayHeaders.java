package org.plantainspur.gateway.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * The headers that hosts add to a relayed request and its response, and remove before
 * they pass it on.
 */
final class RelayHeaders {

	/** The identity of the target. */
	static final String TARGET = "Plantainspur-Relay-Target";

	/** Whether the request may be retried if its connection fails. */
	static final String RETRYABLE = "Plantainspur-Relay-Retryable";

	/** When the request was sent, in Unix milliseconds. */
	static final String SENT_MS = "Plantainspur-Relay-Sent-Ms";

	/** The proof that a host of the fleet has sent the request. */
	static final String PROOF = "Plantainspur-Relay-Proof";

	/** In a response: why it is not the target's. */
	static final String OUTCOME = "Plantainspur-Relay-Outcome";

	/** In a response: what was observed, as text for the log. */
	static final String REASON = "Plantainspur-Relay-Reason";

	private RelayHeaders() {
	}

	static void removeAll(HttpHeaders headers) {
		headers.remove(TARGET);
		headers.remove(RETRYABLE);
		headers.remove(SENT_MS);
		headers.remove(PROOF);
		headers.remove(OUTCOME);
		headers.remove(REASON);
	}

}
