package org.plantainspur.adapters.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.concurrent.TimeoutException;

import org.plantainspur.core.time.Clock;

/**
 * Reads the bodies of callers' requests and gives up on a caller that sends slower than a
 * least rate. Jetty's own check has no time of grace: it refuses a body of 2 bytes when
 * the reading thread is delayed by 8 ms.
 */
public final class BodyReader {

	/** The time in which a body may be slower, so that no pause of a thread matters. */
	static final long GRACE_MILLIS = 1000;

	private static final int BUFFER_BYTES = 8192;

	private static final long MILLIS_PER_SECOND = 1000;

	private final Clock clock;

	private final int bytesPerSecond;

	/**
	 * Creates a reader.
	 * @param clock the process clock
	 * @param bytesPerSecond the least rate
	 */
	public BodyReader(Clock clock, int bytesPerSecond) {
		this.clock = clock;
		this.bytesPerSecond = bytesPerSecond;
	}

	/**
	 * Reads a body.
	 * @param stream the body
	 * @param most the most bytes to read
	 * @return the bytes
	 * @throws IOException if the connection fails
	 * @throws TimeoutException if the caller is too slow
	 */
	byte[] read(InputStream stream, int most) throws IOException, TimeoutException {
		long start = this.clock.millis();
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		byte[] buffer = new byte[BUFFER_BYTES];
		while (body.size() < most) {
			int count = stream.read(buffer, 0, Math.min(buffer.length, most - body.size()));
			if (count < 0) {
				break;
			}
			body.write(buffer, 0, count);
			long millis = this.clock.millis() - start;
			if (millis > GRACE_MILLIS && body.size() * MILLIS_PER_SECOND < this.bytesPerSecond * millis) {
				throw new TimeoutException(body.size() + " bytes of the body came in " + millis
						+ " ms, which is slower than " + this.bytesPerSecond + " bytes per second");
			}
		}
		return body.toByteArray();
	}

}
