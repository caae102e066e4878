package org.plantainspur.adapters.http;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;

import javax.net.ssl.SSLSocket;

import org.apache.hc.core5.http.impl.io.SocketHolder;
import org.jspecify.annotations.Nullable;

/**
 * Holds a socket for a client that accepts only responses whose end is framed. The end of
 * the stream within a response is an error: HttpClient's parser would take it for the end
 * of a header line, of the head, of a chunk size or of a trailer. For the stale check of
 * a pooled connection the input can be read without blocking. Only the thread that has
 * leased the connection reads from it.
 */
final class StrictSocketHolder extends SocketHolder {

	private final @Nullable SocketChannel channel;

	private boolean nonBlocking;

	/**
	 * Creates a holder.
	 * @param socket a connected socket; one that was not opened with a
	 * {@link SocketChannel} cannot be read without blocking, so a stale check waits for
	 * the timeout that HttpClient sets
	 */
	StrictSocketHolder(Socket socket) {
		super(socket);
		this.channel = socket.getChannel();
	}

	/**
	 * Creates a holder for a connection with TLS. Its input cannot be read without
	 * blocking, so a stale check waits for the timeout that HttpClient sets.
	 * @param tlsSocket the socket to read from and to write to
	 * @param socket the connected socket below it
	 */
	StrictSocketHolder(SSLSocket tlsSocket, Socket socket) {
		super(tlsSocket, socket);
		this.channel = null;
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
				SocketChannel readable = StrictSocketHolder.this.channel;
				if (StrictSocketHolder.this.nonBlocking && readable != null) {
					return readAvailable(readable, ByteBuffer.wrap(bytes, offset, length));
				}
				int count = super.read(bytes, offset, length);
				if (count < 0) {
					throw new SocketException("the server closed the connection before the end of its response");
				}
				return count;
			}

		};
	}

	private static int readAvailable(SocketChannel channel, ByteBuffer buffer) throws IOException {
		int count;
		try {
			channel.configureBlocking(false);
			try {
				count = channel.read(buffer);
			}
			finally {
				channel.configureBlocking(true);
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
