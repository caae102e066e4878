package org.plantainspur.core.once;

import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentNavigableMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.request.CallerAnswer;

/**
 * Keeps records in slices by the minute in which their token was issued. A slice is
 * dropped as a whole once all its records may go, so that expiry needs no scan of the
 * records.
 */
final class RecordTable {

	private static final long SLICE_MILLIS = 60_000;

	private final ConcurrentNavigableMap<Long, Slice> slices = new ConcurrentSkipListMap<>();

	private final long keptMillis;

	private final long maximumRecords;

	private final long answerBytes;

	RecordTable(long keptMillis, long maximumRecords, long answerBytes) {
		this.keptMillis = keptMillis;
		this.maximumRecords = maximumRecords;
		this.answerBytes = answerBytes;
	}

	Slice slice(long issuedMillis) {
		return this.slices.computeIfAbsent(Math.floorDiv(issuedMillis, SLICE_MILLIS), (minute) -> new Slice());
	}

	boolean holds(long issuedMillis, String key) {
		Slice slice = this.slices.get(Math.floorDiv(issuedMillis, SLICE_MILLIS));
		return slice != null && slice.records.containsKey(key);
	}

	/**
	 * Drops the slices whose youngest token is older than the time that records are kept.
	 * @param nowMillis the present
	 */
	void expire(long nowMillis) {
		long keptFrom = Math.floorDiv(nowMillis - this.keptMillis, SLICE_MILLIS);
		this.slices.headMap(keptFrom).clear();
	}

	// Counted after the insertion, so that concurrent insertions cannot pass the limit
	// together.
	boolean overFull() {
		return size() > this.maximumRecords;
	}

	long size() {
		return this.slices.values().stream().mapToLong((slice) -> slice.records.mappingCount()).sum();
	}

	long keptBytes() {
		return this.slices.values().stream().mapToLong((slice) -> slice.bytes.get()).sum();
	}

	void answered(Slice slice, OnceRecord record, CallerAnswer answer) {
		long size = OnceRecord.sizeOf(answer);
		if (size == 0) {
			return;
		}
		slice.bytes.addAndGet(size);
		slice.answers.add(new Kept(record, size));
		while (keptBytes() > this.answerBytes && dropOldest()) {
			continue;
		}
	}

	private boolean dropOldest() {
		for (Slice slice : this.slices.values()) {
			Kept oldest = slice.answers.poll();
			if (oldest != null) {
				oldest.record().dropAnswer();
				slice.bytes.addAndGet(-oldest.size());
				return true;
			}
		}
		return false;
	}

	/**
	 * The records whose tokens were issued in one minute.
	 */
	static final class Slice {

		private final ConcurrentHashMap<String, OnceRecord> records = new ConcurrentHashMap<>();

		private final Queue<Kept> answers = new ConcurrentLinkedQueue<>();

		private final AtomicLong bytes = new AtomicLong();

		@Nullable OnceRecord putIfAbsent(String key, OnceRecord record) {
			return this.records.putIfAbsent(key, record);
		}

		void remove(String key, OnceRecord record) {
			this.records.remove(key, record);
		}

	}

	/**
	 * An answer in memory.
	 *
	 * @param record its record
	 * @param size its size in bytes
	 */
	private record Kept(OnceRecord record, long size) {
	}

}
