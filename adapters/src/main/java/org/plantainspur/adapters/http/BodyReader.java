package org.plantainspur.adapters.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.concurrent.TimeoutException;

import org.plantainspur.core.time.Clock;

/**
 * Reads request bodies and times out callers that send slower than a minimum data rate.
 * Jetty's own minimum data rate has no grace period: at 256 bytes per second, it refuses
 * a body of 2 bytes when the reading thread is delayed by 8 ms. The rate is checked after
 * each read, so a caller that sends nothing more is left to the idle timeout of the
 * connection.
 */
public final class BodyReader {

	/**
	 * Time from the start of a body before the minimum rate applies, in milliseconds, so
	 * that a request is not refused because the reading thread paused for a moment.
	 */
	static final long GRACE_MILLIS = 1000;

	private static final int BUFFER_BYTES = 8192;

	private static final long MILLIS_PER_SECOND = 1000;

	private final Clock clock;

	private final int minimumBytesPerSecond;

	/**
	 * Creates a reader.
	 * @param clock the process clock
	 * @param minimumBytesPerSecond the minimum data rate, averaged from the start of the
	 * body
	 */
	public BodyReader(Clock clock, int minimumBytesPerSecond) {
		this.clock = clock;
		this.minimumBytesPerSecond = minimumBytesPerSecond;
	}

	/**
	 * Reads a request body up to its end or up to a limit, whichever comes first.
	 * @param stream the body as it arrives
	 * @param maximumBytes the number of bytes after which to stop reading
	 * @return the bytes read, at most {@code maximumBytes}
	 * @throws IOException if the connection fails
	 * @throws TimeoutException if the caller sends slower than the minimum rate
	 */
	byte[] read(InputStream stream, int maximumBytes) throws IOException, TimeoutException {
		long startMillis = this.clock.millis();
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		byte[] buffer = new byte[BUFFER_BYTES];
		while (body.size() < maximumBytes) {
			int count = stream.read(buffer, 0, Math.min(buffer.length, maximumBytes - body.size()));
			if (count < 0) {
				break;
			}
			body.write(buffer, 0, count);
			long elapsedMillis = this.clock.millis() - startMillis;
			if (elapsedMillis > GRACE_MILLIS
					&& body.size() * MILLIS_PER_SECOND < this.minimumBytesPerSecond * elapsedMillis) {
				throw new TimeoutException(body.size() + " bytes of the body arrived in " + elapsedMillis
						+ " ms, which is slower than " + this.minimumBytesPerSecond + " bytes per second");
			}
		}
		return body.toByteArray();
	}

}
