package org.plantainspur.core.idempotency;

import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentNavigableMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.request.CallerAnswer;

/**
 * Holds the idempotency records in slices, one for each minute in which tokens were
 * issued. A slice is dropped as a whole when all its records have expired, so that expiry
 * doesn't scan the records. When the answers exceed their size limit, answers are
 * dropped, those of the oldest slice first; their records stay.
 */
final class RecordTable {

	/** The range of token issue times that one slice covers. */
	private static final long SLICE_MILLIS = 60_000;

	private final ConcurrentNavigableMap<Long, Slice> slices = new ConcurrentSkipListMap<>();

	private final long retentionMillis;

	private final long maximumRecords;

	private final long maximumAnswerBytes;

	RecordTable(long retentionMillis, long maximumRecords, long maximumAnswerBytes) {
		this.retentionMillis = retentionMillis;
		this.maximumRecords = maximumRecords;
		this.maximumAnswerBytes = maximumAnswerBytes;
	}

	Slice slice(long issuedMillis) {
		return this.slices.computeIfAbsent(Math.floorDiv(issuedMillis, SLICE_MILLIS), (minute) -> new Slice());
	}

	boolean contains(long issuedMillis, String key) {
		Slice slice = this.slices.get(Math.floorDiv(issuedMillis, SLICE_MILLIS));
		return slice != null && slice.records.containsKey(key);
	}

	/**
	 * Drops the slices in which even the newest token is older than the retention time.
	 * @param nowMillis the time now, in milliseconds on the process clock
	 */
	void expire(long nowMillis) {
		long firstKeptMinute = Math.floorDiv(nowMillis - this.retentionMillis, SLICE_MILLIS);
		this.slices.headMap(firstKeptMinute).clear();
	}

	// Called after an insertion: a check before it would let concurrent insertions exceed
	// the limit together.
	boolean exceedsRecordLimit() {
		return size() > this.maximumRecords;
	}

	long size() {
		return this.slices.values().stream().mapToLong((slice) -> slice.records.mappingCount()).sum();
	}

	long answerBytes() {
		return this.slices.values().stream().mapToLong((slice) -> slice.answerBytes.get()).sum();
	}

	void keepAnswer(Slice slice, IdempotencyRecord record, CallerAnswer answer) {
		long size = IdempotencyRecord.sizeInBytes(answer);
		if (size == 0) {
			return;
		}
		slice.answerBytes.addAndGet(size);
		slice.answers.add(new KeptAnswer(record, size));
		while (answerBytes() > this.maximumAnswerBytes && dropOldestAnswer()) {
			continue;
		}
	}

	private boolean dropOldestAnswer() {
		for (Slice slice : this.slices.values()) {
			KeptAnswer oldest = slice.answers.poll();
			if (oldest != null) {
				oldest.record().dropAnswer();
				slice.answerBytes.addAndGet(-oldest.size());
				return true;
			}
		}
		return false;
	}

	/**
	 * The records whose tokens were issued in the same minute, and their answers in order
	 * of completion.
	 */
	static final class Slice {

		private final ConcurrentHashMap<String, IdempotencyRecord> records = new ConcurrentHashMap<>();

		private final Queue<KeptAnswer> answers = new ConcurrentLinkedQueue<>();

		private final AtomicLong answerBytes = new AtomicLong();

		@Nullable IdempotencyRecord putIfAbsent(String key, IdempotencyRecord record) {
			return this.records.putIfAbsent(key, record);
		}

		void remove(String key, IdempotencyRecord record) {
			this.records.remove(key, record);
		}

	}

	/**
	 * An answer that is kept for repeats.
	 *
	 * @param record the record that contains the answer
	 * @param size the size of its header fields and body, in bytes
	 */
	private record KeptAnswer(IdempotencyRecord record, long size) {
	}

}
