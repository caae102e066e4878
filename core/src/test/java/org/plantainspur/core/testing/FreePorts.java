package org.plantainspur.core.testing;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Allocates ports for processes that a test starts. They lie below the system's range of
 * ephemeral ports, since an outgoing connection could otherwise take a port between its
 * allocation and its use.
 */
public final class FreePorts {

	private static final int PORT_COUNT = 12_000 / Integer.getInteger("plantainspur.test.forks", 1);

	/**
	 * The first port of this process. Test processes that run side by side have ranges of
	 * their own, numbered from 1.
	 */
	private static final int FIRST_PORT = 20_000 + (Integer.getInteger("plantainspur.test.fork", 1) - 1) * PORT_COUNT;

	/**
	 * The offset of the next port to try. Starts at a value derived from the process id,
	 * so that concurrent test runs seldom try the same ports.
	 */
	private static final AtomicInteger nextOffset = new AtomicInteger(
			(int) (ProcessHandle.current().pid() * 97 % PORT_COUNT));

	private FreePorts() {
	}

	/**
	 * Returns a free port on 127.0.0.1 that this process has not allocated before.
	 * @return the port number
	 * @throws IOException if no port is free
	 */
	public static int next() throws IOException {
		for (int i = 0; i < PORT_COUNT; i++) {
			int port = FIRST_PORT + Math.floorMod(nextOffset.getAndIncrement(), PORT_COUNT);
			try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
				return socket.getLocalPort();
			}
			catch (IOException ex) {
				// The port is in use; try the next one.
				continue;
			}
		}
		throw new IOException("no port from " + FIRST_PORT + " to " + (FIRST_PORT + PORT_COUNT - 1) + " is free");
	}

}
