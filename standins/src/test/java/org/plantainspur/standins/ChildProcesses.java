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
 * Starts the programs under test in separate processes and ends all of them on close.
 */
public final class ChildProcesses implements AutoCloseable {

	/** How long a process takes at most to print what its threads do. */
	private static final long THREADS_PRINTED_MS = 1_000;

	private final List<Process> processes = new CopyOnWriteArrayList<>();

	/**
	 * Creates an empty list of processes. A shutdown hook ends them if a signal ends the
	 * test run.
	 */
	public ChildProcesses() {
		Runtime.getRuntime().addShutdownHook(new Thread(this::close, "end child processes"));
	}

	/**
	 * Starts a program and waits until it prints the address it listens on.
	 * @param mainClass the fully qualified name of the main class
	 * @param args the command-line arguments of the program
	 * @return the running process
	 * @throws Exception if the program ends first or prints no address within 30 seconds
	 */
	public Process start(String mainClass, String... args) throws Exception {
		return startWithOptions(List.of(), mainClass, args);
	}

	/**
	 * Starts a program with additional JVM options and waits until it prints the address
	 * it listens on.
	 * @param jvmOptions the additional JVM options
	 * @param mainClass the fully qualified name of the main class
	 * @param args the command-line arguments of the program
	 * @return the running process
	 * @throws Exception if the program ends first or prints no address within 30 seconds
	 */
	public Process startWithOptions(List<String> jvmOptions, String mainClass, String... args) throws Exception {
		List<String> command = new ArrayList<>(List.of(System.getProperty("java.home") + "/bin/java", "-Xmx96m",
				"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path")));
		command.addAll(jvmOptions);
		command.add(mainClass);
		command.addAll(List.of(args));
		Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
		this.processes.add(process);
		CompletableFuture<String> listeningLine = new CompletableFuture<>();
		Thread reader = new Thread(() -> readOutput(process, mainClass, listeningLine), "output of " + mainClass);
		reader.setDaemon(true);
		reader.start();
		listeningLine.get(30, TimeUnit.SECONDS);
		return process;
	}

	private static void readOutput(Process process, String mainClass, CompletableFuture<String> listeningLine) {
		try (BufferedReader output = new BufferedReader(
				new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
			for (String line = output.readLine(); line != null; line = output.readLine()) {
				System.out.println(mainClass.substring(mainClass.lastIndexOf('.') + 1) + ": " + line);
				if (line.contains(" listens on ")) {
					listeningLine.complete(line);
				}
			}
			listeningLine.completeExceptionally(
					new IOException(mainClass + " ended before it printed the address that it listens on"));
		}
		catch (IOException ex) {
			listeningLine.completeExceptionally(ex);
		}
	}

	/**
	 * Has a process print what its threads do, with the other lines of its output.
	 * @param process a running process
	 * @throws Exception if it cannot be signalled
	 */
	public static void printThreads(Process process) throws Exception {
		new ProcessBuilder("kill", "-QUIT", String.valueOf(process.pid())).start().waitFor();
		Thread.sleep(THREADS_PRINTED_MS);
	}

	public static int freePort() throws IOException {
		return FreePorts.next();
	}

	@Override
	public void close() {
		this.processes.forEach(Process::destroyForcibly);
	}

}
