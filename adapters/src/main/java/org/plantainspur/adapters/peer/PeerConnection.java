package org.plantainspur.adapters.peer;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;

/**
 * A TCP connection to a peer. Any thread may send; only one thread may receive.
 */
final class PeerConnection implements AutoCloseable {

	/**
	 * Time within which a peer must accept one frame, in milliseconds; the connection is
	 * closed after it. A frame of 4 MiB takes 1.1 s on the 30 Mbit/s between regions.
	 */
	private static final long WRITE_TIMEOUT_MILLIS = 5000;

	private final Socket socket;

	private final DataInputStream input;

	private final DataOutputStream output;

	private final ScheduledExecutorService watchdog;

	private final ReentrantLock writeLock = new ReentrantLock();

	PeerConnection(Socket socket, ScheduledExecutorService watchdog) throws IOException {
		this.socket = socket;
		this.watchdog = watchdog;
		socket.setTcpNoDelay(true);
		socket.setKeepAlive(true);
		this.input = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
		this.output = new DataOutputStream(socket.getOutputStream());
	}

	DataInputStream input() {
		return this.input;
	}

	DataOutputStream output() {
		return this.output;
	}

	/**
	 * Sets how long a receiving thread waits for the next bytes.
	 * @param millis the timeout in milliseconds, 0 for none
	 * @throws IOException if the socket is closed
	 */
	void receiveTimeout(int millis) throws IOException {
		this.socket.setSoTimeout(millis);
	}

	byte[] receive() throws IOException {
		return PeerFrames.read(this.input, PeerFrames.MAXIMUM_BYTES);
	}

	void send(byte[] payload) throws IOException {
		this.writeLock.lock();
		try {
			sendLocked(payload);
		}
		catch (RejectedExecutionException ex) {
			throw new IOException("the link is closed", ex);
		}
		finally {
			this.writeLock.unlock();
		}
	}

	private void sendLocked(byte[] payload) throws IOException {
		ScheduledFuture<?> writeTimeout = this.watchdog.schedule(this::close, WRITE_TIMEOUT_MILLIS,
				TimeUnit.MILLISECONDS);
		try {
			PeerFrames.write(this.output, payload);
		}
		finally {
			writeTimeout.cancel(false);
		}
	}

	@Override
	public void close() {
		try {
			this.socket.close();
		}
		catch (IOException ex) {
			// The connection is not used again, whether or not the close succeeded.
		}
	}

}
