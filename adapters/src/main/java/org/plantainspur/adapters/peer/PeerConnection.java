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
 * A connection to a peer. Any thread may send; one thread receives.
 */
final class PeerConnection implements AutoCloseable {

	/**
	 * A peer that takes longer than this to accept one frame is cut off, in milliseconds.
	 * A frame of 4 MiB takes 1.1 s on the 30 Mbit/s between regions.
	 */
	private static final long WRITE_TIMEOUT_MILLIS = 5000;

	private final Socket socket;

	private final DataInputStream input;

	private final DataOutputStream output;

	private final ScheduledExecutorService watchdog;

	private final ReentrantLock writing = new ReentrantLock();

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

	void receiveTimeout(int millis) throws IOException {
		this.socket.setSoTimeout(millis);
	}

	byte[] receive() throws IOException {
		return PeerFrames.read(this.input, PeerFrames.MAXIMUM_BYTES);
	}

	void send(byte[] payload) throws IOException {
		this.writing.lock();
		try {
			sendLocked(payload);
		}
		catch (RejectedExecutionException ex) {
			throw new IOException("the link is closed", ex);
		}
		finally {
			this.writing.unlock();
		}
	}

	private void sendLocked(byte[] payload) throws IOException {
		ScheduledFuture<?> cut = this.watchdog.schedule(this::close, WRITE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		try {
			PeerFrames.write(this.output, payload);
		}
		finally {
			cut.cancel(false);
		}
	}

	@Override
	public void close() {
		try {
			this.socket.close();
		}
		catch (IOException ex) {
			// The socket is given up in either case.
		}
	}

}
