package org.plantainspur.standins.upgrade;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;

/**
 * A gateway host that runs as a child process. The host keeps its name and addresses when
 * its process is replaced.
 */
final class GatewayProcess {

	private static final int READ_TIMEOUT_MILLIS = 5_000;

	private static final long STOP_TIMEOUT_SECONDS = 15;

	private final String name;

	private final int port;

	private final Path settingsFile;

	private final Path logFile;

	private int requestCount;

	private @Nullable Process process;

	/**
	 * Writes the settings file of the host. {@link #start(String)} starts the process.
	 * @param name the name of the host
	 * @param port the first of five consecutive ports that the host listens on
	 * @param storePort the port of the table store on 127.0.0.1
	 * @param folder the folder for the settings file and the log file
	 * @throws IOException if the settings file cannot be written
	 */
	GatewayProcess(String name, int port, int storePort, Path folder) throws IOException {
		this.name = name;
		this.port = port;
		this.settingsFile = folder.resolve(name + ".conf");
		this.logFile = folder.resolve(name + ".log");
		Files.writeString(this.settingsFile, """
				nodeName=%s
				ip=127.0.0.1
				zone=a
				zones.a=r
				listen.front=127.0.0.1:%d
				listen.ready=127.0.0.1:%d
				listen.directory=127.0.0.1:%d
				internalPorts=%d,%d
				platform.address=127.0.0.1:%d
				bounds=graceS=5,retryBudgetRatio=0.2,budgetExtra=60
				""".formatted(name, port, port + 1, port + 2, port + 3, port + 4, storePort));
	}

	String name() {
		return this.name;
	}

	GatewayProcess start(String jar) throws IOException {
		ProcessBuilder builder = new ProcessBuilder("java", "-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
				"-jar", jar);
		builder.environment().put("PLANTAINSPUR_CONFIG", this.settingsFile.toString());
		builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(this.logFile.toFile()));
		this.process = builder.start();
		return this;
	}

	void stop() throws InterruptedException {
		Process running = this.process;
		if (running != null) {
			running.destroy();
			if (!running.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
				running.destroyForcibly().waitFor();
			}
		}
	}

	// Returns the whole response as text, empty if the host did not respond.
	String request(String method, String path, String key) {
		this.requestCount++;
		return call(this.port,
				method + " " + path + " HTTP/1.1\r\nHost: jobs.example\r\nX-Plantainspur-Attempt-Id: " + this.name + "-"
						+ this.requestCount + "\r\nX-Plantainspur-Deadline-Ms: 2000\r\nAuthorization: Bearer " + key
						+ "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
	}

	// Returns the directory's response with the hosts that callers should use.
	String resolve() {
		return call(this.port + 2,
				"GET /resolve?name=jobs.example&region=r&zone=a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
	}

	private static String call(int port, String request) {
		try (Socket socket = new Socket("127.0.0.1", port)) {
			socket.setSoTimeout(READ_TIMEOUT_MILLIS);
			socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
			return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
		}
		catch (IOException ex) {
			// The host may still be starting; the caller tries again until its own
			// timeout.
			return "";
		}
	}

}
