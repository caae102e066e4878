package org.plantainspur.adapters.http;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;

import org.apache.hc.core5.http.impl.io.SocketHolder;

/**
 * Holds a socket whose input can be read without blocking, for the stale check of a
 * pooled connection. Only the thread that has leased the connection reads from it.
 */
final class StaleCheckSocketHolder extends SocketHolder {

	private final SocketChannel channel;

	private boolean nonBlocking;

	/**
	 * Creates a holder.
	 * @param socket a connected socket that was opened with a {@link SocketChannel}
	 */
	StaleCheckSocketHolder(Socket socket) {
		super(socket);
		this.channel = socket.getChannel();
	}

	/**
	 * Sets whether reads block until input arrives.
	 * @param nonBlocking whether a read without available input throws a
	 * {@link SocketTimeoutException} immediately
	 */
	void nonBlocking(boolean nonBlocking) {
		this.nonBlocking = nonBlocking;
	}

	@Override
	protected InputStream getInputStream(Socket socket) throws IOException {
		return new FilterInputStream(super.getInputStream(socket)) {

			@Override
			public int read(byte[] bytes, int offset, int length) throws IOException {
				return StaleCheckSocketHolder.this.nonBlocking ? readAvailable(ByteBuffer.wrap(bytes, offset, length))
						: super.read(bytes, offset, length);
			}

		};
	}

	private int readAvailable(ByteBuffer buffer) throws IOException {
		int count;
		try {
			this.channel.configureBlocking(false);
			try {
				count = this.channel.read(buffer);
			}
			finally {
				this.channel.configureBlocking(true);
			}
		}
		catch (IOException ex) {
			// HttpClient's stale check treats only a SocketException as an unusable
			// connection.
			throw new SocketException(ex.toString());
		}
		if (count == 0) {
			throw new SocketTimeoutException("no input is available");
		}
		return count;
	}

}
