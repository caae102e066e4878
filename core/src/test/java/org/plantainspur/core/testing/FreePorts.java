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

	private static final int FIRST = 20_000;

	private static final int COUNT = 12_000;

	private static final AtomicInteger next = new AtomicInteger((int) (ProcessHandle.current().pid() * 97 % COUNT));

	private FreePorts() {
	}

	/**
	 * Returns a free port on 127.0.0.1 that this process has not allocated before.
	 * @return the port number
	 * @throws IOException if no port is free
	 */
	public static int next() throws IOException {
		for (int i = 0; i < COUNT; i++) {
			int port = FIRST + Math.floorMod(next.getAndIncrement(), COUNT);
			try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
				return socket.getLocalPort();
			}
			catch (IOException ex) {
				// The port is in use; try the next one.
				continue;
			}
		}
		throw new IOException("no port from " + FIRST + " to " + (FIRST + COUNT - 1) + " is free");
	}

}
