package review;

import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Forwards the connections of one host to a server, and can silence them: they stay open,
 * but nothing is delivered any more in either direction.
 */
final class Proxy {

	private final int serverPort;

	private final ServerSocket listener;

	private final List<Link> links = new CopyOnWriteArrayList<>();

	Proxy(int serverPort) throws Exception {
		this.serverPort = serverPort;
		this.listener = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
		Kit.thread(() -> {
			while (true) {
				Socket client = this.listener.accept();
				Socket server = new Socket();
				server.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), this.serverPort), 1_000);
				client.setTcpNoDelay(true);
				server.setTcpNoDelay(true);
				Link link = new Link();
				this.links.add(link);
				Kit.thread(() -> copy(link, client, server));
				Kit.thread(() -> copy(link, server, client));
			}
		});
	}

	int port() {
		return this.listener.getLocalPort();
	}

	/** Silences all connections that are open; new ones work. Returns their number. */
	int silenceOpen() {
		int silenced = 0;
		for (Link link : this.links) {
			if (!link.ended && !link.silent) {
				link.silent = true;
				silenced++;
			}
		}
		return silenced;
	}

	private static void copy(Link link, Socket from, Socket to) throws Exception {
		byte[] buffer = new byte[16_384];
		try {
			InputStream input = from.getInputStream();
			OutputStream output = to.getOutputStream();
			int count = input.read(buffer);
			while (count >= 0) {
				if (!link.silent) {
					output.write(buffer, 0, count);
					output.flush();
				}
				count = input.read(buffer);
			}
		}
		finally {
			if (!link.silent) {
				link.ended = true;
				from.close();
				to.close();
			}
		}
	}

	private static final class Link {

		private volatile boolean silent;

		private volatile boolean ended;

	}

}
