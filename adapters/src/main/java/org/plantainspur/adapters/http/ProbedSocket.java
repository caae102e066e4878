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
 * A socket of a channel whose input can be read without waiting. The thread that has
 * leased the connection is the only one that reads.
 */
final class ProbedSocket extends SocketHolder {

	private final SocketChannel channel;

	private boolean probing;

	/**
	 * Wraps a socket.
	 * @param socket a connected socket that was opened with a {@link SocketChannel}
	 */
	ProbedSocket(Socket socket) {
		super(socket);
		this.channel = socket.getChannel();
	}

	/**
	 * Sets whether reads return at once.
	 * @param probing whether a read that finds nothing fails with a
	 * {@link SocketTimeoutException} at once
	 */
	void probing(boolean probing) {
		this.probing = probing;
	}

	@Override
	protected InputStream getInputStream(Socket socket) throws IOException {
		return new FilterInputStream(super.getInputStream(socket)) {

			@Override
			public int read(byte[] bytes, int offset, int length) throws IOException {
				return ProbedSocket.this.probing ? readNow(ByteBuffer.wrap(bytes, offset, length))
						: super.read(bytes, offset, length);
			}

		};
	}

	private int readNow(ByteBuffer buffer) throws IOException {
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
			// HttpClient takes only this type for a connection that cannot be used.
			throw new SocketException(ex.toString());
		}
		if (count == 0) {
			throw new SocketTimeoutException("nothing to read");
		}
		return count;
	}

}
