package org.plantainspur.adapters.peer;

import java.io.IOException;

/**
 * Thrown for bytes that violate the peer protocol. The connection that carried them must
 * be closed.
 */
public final class PeerProtocolException extends IOException {

	private static final long serialVersionUID = 1L;

	PeerProtocolException(String message) {
		super(message);
	}

	PeerProtocolException(String message, Throwable cause) {
		super(message, cause);
	}

}
