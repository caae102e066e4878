package org.plantainspur.adapters.http;

import java.io.IOException;
import java.net.Socket;

import org.apache.hc.client5.http.impl.io.DefaultManagedHttpClientConnection;
import org.apache.hc.core5.util.Timeout;
import org.jspecify.annotations.Nullable;

/**
 * A connection to a target that is checked without waiting before it is used again.
 * HttpClient's own check waits 1 ms for input on each live connection, which is a third
 * of the latency budget, and takes input that no request asked for as the start of the
 * next answer.
 */
final class TargetConnection extends DefaultManagedHttpClientConnection {

	/** A value of 0 would mean no timeout; a probe does not wait for it. */
	private static final Timeout PROBE_TIMEOUT = Timeout.ofMilliseconds(1);

	private volatile @Nullable ProbedSocket socket;

	/**
	 * Creates a connection that is not open yet.
	 * @param id the connection's identity in the log
	 */
	TargetConnection(String id) {
		super(id);
	}

	@Override
	public void bind(Socket connected) throws IOException {
		ProbedSocket probed = new ProbedSocket(connected);
		bind(probed);
		this.socket = probed;
	}

	/**
	 * Says whether the connection must not carry another request.
	 * @return whether the target has closed the connection, it has failed, or there is
	 * input that belongs to no request
	 * @throws IOException if the check fails
	 */
	@Override
	public boolean isStale() throws IOException {
		ProbedSocket probed = this.socket;
		if (probed == null || !isOpen()) {
			return true;
		}
		probed.probing(true);
		try {
			return super.isStale() || isDataAvailable(PROBE_TIMEOUT);
		}
		finally {
			probed.probing(false);
		}
	}

}
