package org.plantainspur.gateway.log;

import java.io.IOException;
import java.io.OutputStream;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;

import org.plantainspur.core.log.DecisionLog;

/**
 * Writes the log of decisions as JSON lines on a thread of its own. A line that finds the
 * queue full is dropped, so that logging never blocks; the next line that is written
 * reports the number of dropped lines.
 */
public final class JsonLineLog implements DecisionLog {

	/** Lines that can wait to be written: about one second of a busy host's log. */
	private static final int QUEUE_CAPACITY = 512;

	private final BlockingQueue<Entry> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);

	private final AtomicLong dropped = new AtomicLong();

	private final JsonFactory json = new JsonFactory();

	private final OutputStream out;

	private final LongSupplier unixMs;

	/**
	 * Creates a log that does not write yet.
	 * @param out receives the lines, in UTF-8
	 * @param unixMs returns the Unix time in milliseconds, for the timestamps
	 */
	public JsonLineLog(OutputStream out, LongSupplier unixMs) {
		this.out = out;
		this.unixMs = unixMs;
	}

	/**
	 * Starts the writing thread.
	 * @return this log
	 */
	public JsonLineLog start() {
		Thread writer = new Thread(this::writeLines, "log-writer");
		writer.setDaemon(true);
		writer.start();
		return this;
	}

	@Override
	public void event(String name, Object... fields) {
		if (!this.queue.offer(new Line(this.unixMs.getAsLong(), name, fields))) {
			this.dropped.incrementAndGet();
		}
	}

	/**
	 * Returns how many lines were dropped and not yet reported in a written line.
	 * @return a number of lines
	 */
	public long dropped() {
		return this.dropped.get();
	}

	/**
	 * Waits until the lines so far are written. Called before the process ends.
	 * @param maxMs the longest wait, in milliseconds
	 * @return whether they are written
	 */
	public boolean awaitWritten(long maxMs) {
		Marker marker = new Marker(new CountDownLatch(1));
		try {
			return this.queue.offer(marker, maxMs, TimeUnit.MILLISECONDS)
					&& marker.reached().await(maxMs, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

	private void writeLines() {
		try {
			while (true) {
				Entry entry = this.queue.take();
				if (entry instanceof Line line) {
					write(line);
				}
				else if (entry instanceof Marker marker) {
					marker.reached().countDown();
				}
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void write(Line line) {
		try {
			this.out.write(format(line).getBytes(StandardCharsets.UTF_8));
			if (this.queue.isEmpty()) {
				this.out.flush();
			}
		}
		catch (IOException ex) {
			// The output is closed or broken. If it recovers, the next line reports
			// the loss.
			this.dropped.incrementAndGet();
		}
		catch (RuntimeException ex) {
			// A value that has no text. The thread must go on writing the other lines.
			this.dropped.incrementAndGet();
		}
	}

	private String format(Line line) {
		StringWriter text = new StringWriter(160);
		try (JsonGenerator generator = this.json.createGenerator(text)) {
			generator.writeStartObject();
			generator.writeNumberField("ts", line.unixMs());
			generator.writeStringField("event", line.name());
			Object[] fields = line.fields();
			for (int i = 0; i + 1 < fields.length; i += 2) {
				generator.writeFieldName(String.valueOf(fields[i]));
				writeValue(generator, fields[i + 1]);
			}
			long lost = this.dropped.getAndSet(0);
			if (lost > 0) {
				generator.writeNumberField("linesDropped", lost);
			}
			generator.writeEndObject();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return text.append('\n').toString();
	}

	private static void writeValue(JsonGenerator generator, Object value) throws IOException {
		if (value instanceof Number number) {
			generator.writeNumber(number.toString());
		}
		else if (value instanceof Boolean flag) {
			generator.writeBoolean(flag);
		}
		else {
			generator.writeString(String.valueOf(value));
		}
	}

	private sealed interface Entry {

	}

	private record Line(long unixMs, String name, Object[] fields) implements Entry {
	}

	/** Tells that all lines before it are written. */
	private record Marker(CountDownLatch reached) implements Entry {
	}

}
