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
 * Forwards the connections that one process opens to peers and the platform, and can stop
 * forwarding to or from chosen addresses. It is a SOCKS 5 proxy (RFC 1928, CONNECT
 * without authentication), which a JVM uses for its sockets by its standard properties;
 * the connections of a host to targets are socket channels, which these properties do not
 * affect. Bytes that meet a cut are held until it heals, as TCP would send them again.
 */
final class CuttableLinks implements AutoCloseable {

	private static final int VERSION = 5;

	private static final int CONNECT = 1;

	private static final int IPV4 = 1;

	private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private final Set<String> cutRequests = ConcurrentHashMap.newKeySet();

	private final Set<String> cutAnswers = ConcurrentHashMap.newKeySet();

	private final Object changed = new Object();

	private volatile boolean closed;

	CuttableLinks() throws IOException {
		daemon(this::accept);
	}

	/** Returns the options that make a JVM open its sockets through this proxy. */
	List<String> jvmOptions() {
		return List.of("-DsocksProxyHost=127.0.0.1", "-DsocksProxyPort=" + this.listener.getLocalPort(),
				"-DsocksNonProxyHosts=");
	}

	/** Stops forwarding in both directions. */
	void cut(Collection<String> addresses) {
		this.cutRequests.addAll(addresses);
		cutAnswers(addresses);
	}

	/**
	 * Stops forwarding what the addresses send; what is sent to them on connections that
	 * are open still arrives.
	 */
	void cutAnswers(Collection<String> addresses) {
		this.cutAnswers.addAll(addresses);
	}

	void heal() {
		this.cutRequests.clear();
		this.cutAnswers.clear();
		signal();
	}

	private void signal() {
		synchronized (this.changed) {
			this.changed.notifyAll();
		}
	}

	private void accept() {
		while (!this.closed) {
			try {
				Socket client = this.listener.accept();
				this.sockets.add(client);
				daemon(() -> serve(client));
			}
			catch (IOException ex) {
				if (!this.closed) {
					throw new IllegalStateException("no connection was accepted", ex);
				}
			}
		}
	}

	private void serve(Socket client) {
		try {
			String address = negotiate(client);
			// A connection needs packets in both directions before it is open.
			awaitOpen(this.cutRequests, address);
			awaitOpen(this.cutAnswers, address);
			Socket peer = new Socket(Proxy.NO_PROXY);
			this.sockets.add(peer);
			int colon = address.lastIndexOf(':');
			peer.connect(
					new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))));
			client.setTcpNoDelay(true);
			peer.setTcpNoDelay(true);
			client.getOutputStream().write(new byte[] { VERSION, 0, 0, IPV4, 0, 0, 0, 0, 0, 0 });
			daemon(() -> forward(client, peer, this.cutRequests, address));
			forward(peer, client, this.cutAnswers, address);
		}
		catch (IOException ex) {
			end(client);
		}
	}

	private static String negotiate(Socket client) throws IOException {
		DataInputStream input = new DataInputStream(client.getInputStream());
		expect(VERSION, input.readUnsignedByte());
		input.skipNBytes(input.readUnsignedByte());
		client.getOutputStream().write(new byte[] { VERSION, 0 });
		expect(VERSION, input.readUnsignedByte());
		expect(CONNECT, input.readUnsignedByte());
		input.skipNBytes(1);
		expect(IPV4, input.readUnsignedByte());
		String host = InetAddress.getByAddress(input.readNBytes(4)).getHostAddress();
		return host + ":" + input.readUnsignedShort();
	}

	private static void expect(int expected, int value) throws IOException {
		if (value != expected) {
			throw new IOException("the client sent " + value + " where SOCKS 5 with an IPv4 address has " + expected);
		}
	}

	private void forward(Socket from, Socket to, Set<String> cut, String address) {
		byte[] buffer = new byte[16_384];
		try {
			InputStream input = from.getInputStream();
			OutputStream output = to.getOutputStream();
			for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
				awaitOpen(cut, address);
				output.write(buffer, 0, count);
			}
			awaitOpen(cut, address);
		}
		catch (IOException ex) {
			// Both sides are closed below.
		}
		end(from);
		end(to);
	}

	private void awaitOpen(Set<String> cut, String address) throws IOException {
		synchronized (this.changed) {
			while (cut.contains(address) && !this.closed) {
				try {
					this.changed.wait();
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
					throw new IOException("interrupted", ex);
				}
			}
		}
	}

	private void end(Socket socket) {
		this.sockets.remove(socket);
		try {
			socket.close();
		}
		catch (IOException ex) {
			// The socket is given up in either case.
		}
	}

	private static void daemon(Runnable work) {
		Thread thread = new Thread(work, "cuttable-links");
		thread.setDaemon(true);
		thread.start();
	}

	@Override
	public void close() throws IOException {
		this.closed = true;
		this.listener.close();
		signal();
		List.copyOf(this.sockets).forEach(this::end);
	}

}
