package org.plantainspur.standins;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Proxy;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A SOCKS 5 proxy (RFC 1928, CONNECT without authentication) that simulates network
 * partitions. It forwards the connections that one process opens to peers and the
 * platform, and can stop forwarding to or from chosen addresses. A JVM uses it for its
 * sockets through standard properties; a host connects to targets through socket
 * channels, which these properties do not affect. Bytes to or from a blocked address are
 * held until it is unblocked, as TCP would retransmit them.
 */
final class SocksFaultProxy implements AutoCloseable {

	private static final int SOCKS_VERSION = 5;

	private static final int CONNECT_COMMAND = 1;

	private static final int IPV4_ADDRESS_TYPE = 1;

	private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	// Addresses, as host:port, to which nothing is forwarded.
	private final Set<String> blockedRequests = ConcurrentHashMap.newKeySet();

	// Addresses, as host:port, from which nothing is forwarded.
	private final Set<String> blockedReplies = ConcurrentHashMap.newKeySet();

	private final Object blockingChanged = new Object();

	private volatile boolean closed;

	SocksFaultProxy() throws IOException {
		startDaemon(this::accept);
	}

	/** Returns the options that make a JVM open its sockets through this proxy. */
	List<String> jvmOptions() {
		return List.of("-DsocksProxyHost=127.0.0.1", "-DsocksProxyPort=" + this.listener.getLocalPort(),
				"-DsocksNonProxyHosts=");
	}

	/** Stops forwarding to and from the addresses, given as host:port. */
	void block(Collection<String> addresses) {
		this.blockedRequests.addAll(addresses);
		blockReplies(addresses);
	}

	/**
	 * Stops forwarding what the addresses send; what is sent to them on open connections
	 * still arrives.
	 */
	void blockReplies(Collection<String> addresses) {
		this.blockedReplies.addAll(addresses);
	}

	void unblockAll() {
		this.blockedRequests.clear();
		this.blockedReplies.clear();
		notifyForwarders();
	}

	private void notifyForwarders() {
		synchronized (this.blockingChanged) {
			this.blockingChanged.notifyAll();
		}
	}

	private void accept() {
		while (!this.closed) {
			try {
				Socket client = this.listener.accept();
				this.sockets.add(client);
				startDaemon(() -> serveConnection(client));
			}
			catch (IOException ex) {
				if (!this.closed) {
					throw new IllegalStateException("the SOCKS proxy could not accept a connection", ex);
				}
			}
		}
	}

	private void serveConnection(Socket client) {
		try {
			String address = negotiate(client);
			// A TCP handshake needs packets in both directions.
			awaitUnblocked(this.blockedRequests, address);
			awaitUnblocked(this.blockedReplies, address);
			Socket peer = new Socket(Proxy.NO_PROXY);
			this.sockets.add(peer);
			int colon = address.lastIndexOf(':');
			peer.connect(
					new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))));
			client.setTcpNoDelay(true);
			peer.setTcpNoDelay(true);
			client.getOutputStream().write(new byte[] { SOCKS_VERSION, 0, 0, IPV4_ADDRESS_TYPE, 0, 0, 0, 0, 0, 0 });
			startDaemon(() -> forward(client, peer, this.blockedRequests, address));
			forward(peer, client, this.blockedReplies, address);
		}
		catch (IOException ex) {
			closeSocket(client);
		}
	}

	private static String negotiate(Socket client) throws IOException {
		DataInputStream input = new DataInputStream(client.getInputStream());
		requireByte(SOCKS_VERSION, input.readUnsignedByte());
		input.skipNBytes(input.readUnsignedByte());
		client.getOutputStream().write(new byte[] { SOCKS_VERSION, 0 });
		requireByte(SOCKS_VERSION, input.readUnsignedByte());
		requireByte(CONNECT_COMMAND, input.readUnsignedByte());
		input.skipNBytes(1);
		requireByte(IPV4_ADDRESS_TYPE, input.readUnsignedByte());
		String host = InetAddress.getByAddress(input.readNBytes(4)).getHostAddress();
		return host + ":" + input.readUnsignedShort();
	}

	private static void requireByte(int expected, int value) throws IOException {
		if (value != expected) {
			throw new IOException("the client sent " + value + " where SOCKS 5 with an IPv4 address has " + expected);
		}
	}

	private void forward(Socket from, Socket to, Set<String> blocked, String address) {
		byte[] buffer = new byte[16_384];
		try {
			InputStream input = from.getInputStream();
			OutputStream output = to.getOutputStream();
			for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
				awaitUnblocked(blocked, address);
				output.write(buffer, 0, count);
			}
			awaitUnblocked(blocked, address);
		}
		catch (IOException ex) {
			// An error on one side ends the connection; both sockets are closed below.
		}
		closeSocket(from);
		closeSocket(to);
	}

	private void awaitUnblocked(Set<String> blocked, String address) throws IOException {
		synchronized (this.blockingChanged) {
			while (blocked.contains(address) && !this.closed) {
				try {
					this.blockingChanged.wait();
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
					throw new IOException("interrupted while forwarding was blocked", ex);
				}
			}
		}
	}

	private void closeSocket(Socket socket) {
		this.sockets.remove(socket);
		try {
			socket.close();
		}
		catch (IOException ex) {
			// The socket is no longer used, whether or not closing it failed.
		}
	}

	private static void startDaemon(Runnable task) {
		Thread thread = new Thread(task, "socks-fault-proxy");
		thread.setDaemon(true);
		thread.start();
	}

	@Override
	public void close() throws IOException {
		this.closed = true;
		this.listener.close();
		notifyForwarders();
		List.copyOf(this.sockets).forEach(this::closeSocket);
	}

}
