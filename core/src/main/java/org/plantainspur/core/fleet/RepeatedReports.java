package org.plantainspur.core.fleet;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Selects the reports that other failure domains have not been told of yet. Bytes between
 * failure domains are billed, so each report is sent only {@link #SENDS_PER_REPORT}
 * times, and again when its content changes. Used by one thread.
 *
 * @param <T> the type of the reports
 */
public final class RepeatedReports<T> {

	/** A report is sent once more in case a datagram is lost. */
	static final int SENDS_PER_REPORT = 2;

	/** The most subjects whose sends are counted; the oldest is forgotten beyond it. */
	private static final int MAX_COUNTED = 1_000;

	private final Function<T, Object> subject;

	private final Function<T, Object> content;

	private final Map<Object, Sends> sendsBySubject = new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<Object, Sends> eldest) {
			return size() > MAX_COUNTED;
		}

	};

	/**
	 * Creates a selection that has selected nothing yet.
	 * @param subject returns what identifies the subject of a report
	 * @param content returns what is reported of the subject, without its age
	 */
	public RepeatedReports(Function<T, Object> subject, Function<T, Object> content) {
		this.subject = subject;
		this.content = content;
	}

	/**
	 * Records what another failure domain has reported. It reports it to all domains
	 * itself.
	 * @param reports the reports, which are not sent from here
	 */
	public void addReceived(Collection<T> reports) {
		reports.forEach((report) -> this.sendsBySubject.put(this.subject.apply(report),
				new Sends(this.content.apply(report), SENDS_PER_REPORT)));
	}

	/**
	 * Returns the reports to send now; they count as sent.
	 * @param current the reports that hold now
	 * @return those that have been sent less often than {@link #SENDS_PER_REPORT}
	 */
	public List<T> take(List<T> current) {
		return current.stream().filter(this::countSend).toList();
	}

	private boolean countSend(T report) {
		Object reported = this.content.apply(report);
		Sends previous = this.sendsBySubject.get(this.subject.apply(report));
		int count = (previous != null && previous.content().equals(reported)) ? previous.count() : 0;
		if (count >= SENDS_PER_REPORT) {
			return false;
		}
		this.sendsBySubject.put(this.subject.apply(report), new Sends(reported, count + 1));
		return true;
	}

	private record Sends(Object content, int count) {
	}

}
