package org.plantainspur.standins.gateway;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.testing.FreePorts;

/**
 * The path from one host to one target: forwards connections until it is cut, and again
 * once it is restored.
 */
final class CuttablePath implements AutoCloseable {

	private static final int BACKLOG = 100;

	private static final int MAX_BIND_ATTEMPTS = 1_000;

	private static final int PROBE_TIMEOUT_MILLIS = 30;

	private final int port = FreePorts.next();

	private final int targetPort;

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private final List<Socket> fillers = new ArrayList<>();

	private ServerSocket listener;

	private volatile boolean silent;

	CuttablePath(int targetPort) throws IOException {
		this.targetPort = targetPort;
		this.listener = listen();
	}

	int port() {
		return this.port;
	}

	synchronized void cut(Kind kind) throws IOException {
		this.listener.close();
		if (kind == Kind.SILENT) {
			this.silent = true;
			blockConnects();
		}
		else if (kind == Kind.RESET) {
			for (Socket socket : this.sockets) {
				reset(socket);
			}
		}
	}

	// A full backlog of a listener that accepts nothing leaves further connects without
	// an answer.
	private void blockConnects() throws IOException {
		this.listener = bind(1);
		boolean answered = true;
		while (answered) {
			Socket filler = new Socket();
			try {
				filler.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), this.port),
						PROBE_TIMEOUT_MILLIS);
				this.fillers.add(filler);
			}
			catch (IOException ex) {
				filler.close();
				answered = false;
			}
		}
	}

	synchronized void restore() throws IOException {
		this.listener.close();
		for (Socket filler : this.fillers) {
			reset(filler);
		}
		this.fillers.clear();
		this.listener = listen();
		synchronized (this.sockets) {
			this.silent = false;
			this.sockets.notifyAll();
		}
	}

	// The previous listener is closed only when its accepting thread has noticed.
	private ServerSocket bind(int backlog) throws IOException {
		ServerSocket socket = new ServerSocket();
		socket.setReuseAddress(true);
		for (int attempt = 1; !socket.isBound(); attempt++) {
			try {
				socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), this.port), backlog);
			}
			catch (BindException ex) {
				if (attempt == MAX_BIND_ATTEMPTS) {
					throw ex;
				}
				GatewayFixture.sleep(1);
			}
		}
		return socket;
	}

	private ServerSocket listen() throws IOException {
		ServerSocket socket = bind(BACKLOG);
		RawServer.startDaemonThread(() -> accept(socket));
		return socket;
	}

	private void accept(ServerSocket socket) {
		while (!socket.isClosed()) {
			try {
				Socket client = socket.accept();
				if (admit(client, socket)) {
					RawServer.startDaemonThread(() -> forward(client));
				}
			}
			catch (IOException ex) {
				// The path was cut.
			}
		}
	}

	// A connection may still be accepted while the path is being cut.
	private synchronized boolean admit(Socket client, ServerSocket acceptedBy) {
		if (acceptedBy.isClosed()) {
			reset(client);
			return false;
		}
		this.sockets.add(client);
		return true;
	}

	private void forward(Socket client) {
		try (client; Socket target = new Socket(InetAddress.getLoopbackAddress(), this.targetPort)) {
			client.setTcpNoDelay(true);
			target.setTcpNoDelay(true);
			this.sockets.add(target);
			RawServer.startDaemonThread(() -> copy(target, client));
			copy(client, target);
		}
		catch (IOException ex) {
			// One of the sides has closed its connection.
		}
		finally {
			this.sockets.remove(client);
		}
	}

	private void copy(Socket from, Socket to) {
		byte[] buffer = new byte[8_192];
		try {
			int length = from.getInputStream().read(buffer);
			while (length >= 0) {
				awaitConnected();
				to.getOutputStream().write(buffer, 0, length);
				length = from.getInputStream().read(buffer);
			}
			awaitConnected();
			to.shutdownOutput();
		}
		catch (IOException ex) {
			closeQuietly(from);
			closeQuietly(to);
		}
		finally {
			this.sockets.remove(from);
		}
	}

	private void awaitConnected() {
		synchronized (this.sockets) {
			while (this.silent) {
				try {
					this.sockets.wait();
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
					return;
				}
			}
		}
	}

	private static void reset(Socket socket) {
		try {
			socket.setSoLinger(true, 0);
		}
		catch (IOException ex) {
			// Closed meanwhile.
		}
		closeQuietly(socket);
	}

	private static void closeQuietly(@Nullable Socket socket) {
		try {
			if (socket != null) {
				socket.close();
			}
		}
		catch (IOException ex) {
			// Nothing is left to close.
		}
	}

	@Override
	public synchronized void close() throws IOException {
		this.listener.close();
		this.sockets.forEach(CuttablePath::closeQuietly);
		this.fillers.forEach(CuttablePath::closeQuietly);
		synchronized (this.sockets) {
			this.silent = false;
			this.sockets.notifyAll();
		}
	}

	/**
	 * What the host sees of a cut.
	 */
	enum Kind {

		/** Connects and open connections get no answer. */
		SILENT,

		/** Connects are refused, and open connections are reset. */
		RESET,

		/** Connects are refused, and open connections live on. */
		REFUSED

	}

}
