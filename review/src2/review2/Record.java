package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: what was sent, answered and run, with the time since the start. */
final class Record implements AutoCloseable {

	private final long startNanos = System.nanoTime();

	private final PrintWriter out;

	Record(Path file) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(file));
	}

	long nowMs() {
		return (System.nanoTime() - this.startNanos) / 1_000_000;
	}

	synchronized void line(String text) {
		this.out.printf(Locale.ROOT, "%8.3f %s%n", nowMs() / 1_000.0, text);
		this.out.flush();
	}

	/** Writes a line to the record and to the standard output. */
	void say(String text) {
		line(text);
		System.out.println(text);
	}

	@Override
	public void close() {
		this.out.close();
	}

}
