package org.plantainspur.standins;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import org.plantainspur.core.testing.FreePorts;

/**
 * Starts the programs under test as processes of their own and ends them all on close.
 */
public final class Processes implements AutoCloseable {

	private final List<Process> processes = new CopyOnWriteArrayList<>();

	/**
	 * Creates an empty list of processes. They end with the test run also if a signal
	 * ends it.
	 */
	public Processes() {
		Runtime.getRuntime().addShutdownHook(new Thread(this::close, "end of processes"));
	}

	/**
	 * Starts a program and waits for the line that says what it listens on.
	 * @param main the main class
	 * @param args the arguments
	 * @return the process
	 * @throws Exception if the program ends or stays silent for 30 seconds
	 */
	public Process start(String main, String... args) throws Exception {
		return startWith(List.of(), main, args);
	}

	/**
	 * Starts a program with further options of its JVM.
	 * @param options the options
	 * @param main the main class
	 * @param args the arguments
	 * @return the process
	 * @throws Exception if the program ends or stays silent for 30 seconds
	 */
	public Process startWith(List<String> options, String main, String... args) throws Exception {
		List<String> command = new ArrayList<>(List.of(System.getProperty("java.home") + "/bin/java", "-Xmx96m",
				"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path")));
		command.addAll(options);
		command.add(main);
		command.addAll(List.of(args));
		Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
		this.processes.add(process);
		CompletableFuture<String> listening = new CompletableFuture<>();
		Thread reader = new Thread(() -> read(process, main, listening), "output of " + main);
		reader.setDaemon(true);
		reader.start();
		listening.get(30, TimeUnit.SECONDS);
		return process;
	}

	private static void read(Process process, String main, CompletableFuture<String> listening) {
		try (BufferedReader output = new BufferedReader(
				new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
			for (String line = output.readLine(); line != null; line = output.readLine()) {
				System.out.println(main.substring(main.lastIndexOf('.') + 1) + ": " + line);
				if (line.contains(" listens on ")) {
					listening.complete(line);
				}
			}
			listening.completeExceptionally(new IOException(main + " ended without listening"));
		}
		catch (IOException ex) {
			listening.completeExceptionally(ex);
		}
	}

	public static int freePort() throws IOException {
		return FreePorts.next();
	}

	@Override
	public void close() {
		this.processes.forEach(Process::destroyForcibly);
	}

}
