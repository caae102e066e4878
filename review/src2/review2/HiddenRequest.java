package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Clients send bookings whose body holds the text of another request. UNASKED forbids that
 * an endpoint runs a request that was smuggled inside another one.
 */
final class HiddenRequest {

	private static final String KEY = "ctnfzs989anu6wsjnban";

	private static final int REQUESTS = 20;

	private static final int DEADLINE_MS = 2_000;

	/** The transfer coding that the head names without chunks; the pages know lengths and chunks only. */
	private static final String CODING = "Transfer-Encoding: gzip\r\n";

	private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	private final Record record;

	private final List<String> ran = new ArrayList<>();

	private HiddenRequest(Path folder) throws IOException {
		this.record = new Record(folder.resolve("record.txt"));
	}

	public static void main(String[] arguments) {
		int exit = 2;
		try {
			exit = new HiddenRequest(Path.of(arguments[0])).run();
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.exit(exit);
	}

	private int run() throws Exception {
		Store store = new Store();
		store.put("op", "config",
				"""
						{"version":"00000007","routes":{"columns":["name","host","prefix","routeType","timeoutMs","targetLatencyMs","priority","trafficSplit","maxAttempts","public","service"],"rows":[["r-book","jepu9.example","/book/","non_idempotent",2500,800,1,null,2,false,"s"]]},"services":{"columns":["name","healthPath","maxConnections","protocol","tls"],"rows":[["s","/health",330,"h1",false]]},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":{"columns":["name","apiKeys","priority","ratePerS","burst"],"rows":[["sese880",["%s"],1,0,0]]},"baseVersion":"00000005"}"""
					.formatted(KEY));
		for (int i = 0; i < 4; i++) {
			new Endpoint(store, "s", "pdx-a", 4, (endpoint, request, attempt) -> {
				synchronized (this.ran) {
					this.ran.add(attempt);
				}
				this.record.line("run " + request.method() + " " + request.uri() + " " + attempt + ", body of "
						+ request.body().length + " bytes");
				return 20;
			});
		}
		int sent = 0;
		List<String> hidden = new ArrayList<>();
		try (Fleet fleet = new Fleet(Path.of("").toAbsolutePath(), store.port(), List.of("pdx-a"))) {
			for (int i = 1; i <= 2; i++) {
				fleet.add("front-pdx-a-" + i, "pdx-a").start();
			}
			fleet.awaitReady(30_000);
			Thread.sleep(Fleet.CONTACT_MS + 1_000);
			List<Integer> ports = Client.resolve(fleet.machines().get(0).directoryPort(), "pdx-a");
			for (int i = 0; i < REQUESTS; i++) {
				String inner = Client.newId();
				hidden.add(inner);
				send(ports.get(i % ports.size()), Client.newId(), head("/book/inner", inner, ""));
				sent++;
			}
			Thread.sleep(1_000);
		}
		synchronized (this.ran) {
			long smuggled = this.ran.stream().filter(hidden::contains).count();
			this.record.say("requests sent " + sent + ", run " + (this.ran.size() - smuggled)
					+ ", requests in their bodies that were run: " + smuggled);
			this.record.say((smuggled > 0) ? "UNASKED broken" : "UNASKED held");
			this.record.close();
			return (smuggled > 0) ? 1 : (this.ran.isEmpty() && !this.trouble) ? 2 : 0;
		}
	}

	private static String head(String path, String id, String fields) {
		return "POST " + path + " HTTP/1.1\r\nHost: jepu9.example\r\nX-Plantainspur-Attempt-Id: " + id
				+ "\r\nX-Plantainspur-Deadline-Ms: " + DEADLINE_MS + "\r\nAuthorization: Bearer " + KEY + "\r\n"
				+ fields + "\r\n";
	}

	private void send(int port, String id, String body) {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
			socket.setSoTimeout(DEADLINE_MS);
			String framing = this.trouble ? CODING : "Content-Length: " + body.length() + "\r\n";
			this.record.line("sent " + id + " to port " + port + " with " + framing.trim() + " and a body of "
					+ body.length() + " bytes");
			socket.getOutputStream()
				.write((head("/book/outer", id, framing) + body).getBytes(StandardCharsets.ISO_8859_1));
			this.record.line("answered "
					+ Client.read(new BufferedInputStream(socket.getInputStream())).status());
			Thread.sleep(100);
		}
		catch (IOException | InterruptedException ex) {
			this.record.line("failed: " + ex.getMessage());
		}
	}

}
