package org.plantainspur.core.idempotency;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.plantainspur.core.request.CallerAnswer;
import org.plantainspur.core.request.Problem;
import org.plantainspur.core.time.Clock;

/**
 * Keeps the records in the memory of this process, for the requests whose dispatch tokens
 * it issued; other requests are relayed to the issuing process. For example
 * {@code LocalIdempotencyRegistry.builder("pdx-7", processId).clock(clock).build()}.
 */
public final class LocalIdempotencyRegistry implements IdempotencyRegistry {

	/** For how long a token is accepted after its issue. */
	public static final long TOKEN_LIFETIME_MILLIS = 10 * 60_000;

	/**
	 * The minimum time for which a record is kept after the issue of its token. Longer
	 * than {@link #TOKEN_LIFETIME_MILLIS}, so that a late repeat either finds the record
	 * or is refused.
	 */
	public static final long RECORD_RETENTION_MILLIS = 12 * 60_000;

	/** After how long a caller may retry when there are too many records. */
	private static final long TABLE_FULL_RETRY_AFTER_MILLIS = 5000;

	private final DispatchTokenIssuer tokenIssuer;

	private final Clock clock;

	private final RecordTable table;

	private final AtomicInteger running = new AtomicInteger();

	private final AtomicLong lastArrivalMillis;

	private LocalIdempotencyRegistry(Builder builder) {
		this.tokenIssuer = new DispatchTokenIssuer(builder.hostId, builder.processId);
		this.clock = builder.clock;
		this.table = new RecordTable(builder.recordRetentionMillis, builder.maximumRecords, builder.maximumAnswerBytes);
		this.lastArrivalMillis = new AtomicLong(this.clock.millis());
	}

	/**
	 * Returns a builder.
	 * @param hostId the id of this host
	 * @param processId the id of this process
	 * @return a builder with the system clock and the default limits
	 */
	public static Builder builder(String hostId, String processId) {
		return new Builder(hostId, processId);
	}

	@Override
	public String issueToken(String accountId) {
		return this.tokenIssuer.issue(accountId, this.clock.millis());
	}

	@Override
	public DispatchDecision register(String accountId, String idempotencyKey, String fingerprint) {
		DispatchToken token;
		try {
			token = DispatchToken.parseKey(idempotencyKey);
		}
		catch (DispatchToken.MalformedException ex) {
			return invalidKey("the idempotency key " + ex.getMessage());
		}
		if (!this.tokenIssuer.namesThisProcess(token)) {
			return new DispatchDecision.Relay(token.hostId(), token.processId());
		}
		this.lastArrivalMillis.set(this.clock.millis());
		this.table.expire(this.clock.millis());
		if (isExpired(token)) {
			return tokenExpired();
		}
		if (!this.tokenIssuer.isAuthentic(token, accountId)) {
			return refuseUnverifiedToken(token, idempotencyKey);
		}
		return openOrJoin(token, idempotencyKey, fingerprint);
	}

	@Override
	public boolean certainlyNotRun(String idempotencyKey) {
		try {
			DispatchToken token = DispatchToken.parseKey(idempotencyKey);
			// The record is looked up before the token's age is checked. As records are
			// kept longer than tokens are valid, a token that has not expired after the
			// lookup can't have lost its record before it.
			return this.tokenIssuer.namesThisProcess(token)
					&& !this.table.contains(token.issuedMillis(), idempotencyKey) && !isExpired(token);
		}
		catch (DispatchToken.MalformedException ex) {
			return true;
		}
	}

	private DispatchDecision openOrJoin(DispatchToken token, String key, String fingerprint) {
		RecordTable.Slice slice = this.table.slice(token.issuedMillis());
		IdempotencyRecord record = new IdempotencyRecord(fingerprint);
		IdempotencyRecord first = slice.putIfAbsent(key, record);
		if (first != null) {
			return first.sameRequest(fingerprint) ? new DispatchDecision.Join(first.answer()) : keyReused();
		}
		// The expiry is checked again: if this thread was paused after the first check, a
		// slice with an earlier record of this key may have expired, and the insertion
		// may have created a new slice.
		if (isExpired(token)) {
			return refuseAndRemove(slice, key, record, tokenExpired());
		}
		if (this.table.exceedsRecordLimit()) {
			return refuseAndRemove(slice, key, record, tableFull());
		}
		this.running.incrementAndGet();
		return new DispatchDecision.Dispatch(new OpenTableRecord(slice, key, record));
	}

	// A repeat may already wait for this record. The record gets its answer before the
	// removal, because another request with this key may be dispatched after the removal.
	private static DispatchDecision refuseAndRemove(RecordTable.Slice slice, String key, IdempotencyRecord record,
			DispatchDecision.Refuse refusal) {
		record.complete(refusal.refusal());
		slice.remove(key, record);
		return refusal;
	}

	private boolean isExpired(DispatchToken token) {
		return this.clock.millis() - token.issuedMillis() > TOKEN_LIFETIME_MILLIS;
	}

	// The authentication code does not match for this account. If the token was issued to
	// another account, a request with this key may have run for that account.
	private DispatchDecision refuseUnverifiedToken(DispatchToken token, String key) {
		if (this.table.contains(token.issuedMillis(), key)) {
			return new DispatchDecision.Refuse(Problem
				.unknown(Problem.Code.IDEMPOTENCY_KEY_REUSED,
						"a request with this idempotency key was sent by another client account")
				.toRefusal());
		}
		return invalidKey(
				"the authentication code of the dispatch token does not match its other fields and the client account");
	}

	private static DispatchDecision.Refuse invalidKey(String reason) {
		return new DispatchDecision.Refuse(Problem
			.notRun(Problem.Code.IDEMPOTENCY_KEY_NOT_VALID,
					reason + "; ask for a dispatch token at /.plantainspur/locate and send"
							+ " <dispatch token>.<a value of your own>")
			.toRefusal());
	}

	private static DispatchDecision.Refuse tokenExpired() {
		return new DispatchDecision.Refuse(
				Problem
					.unknown(Problem.Code.DISPATCH_TOKEN_EXPIRED,
							"the dispatch token was issued more than " + TOKEN_LIFETIME_MILLIS / 60_000
									+ " minutes ago")
					.toRefusal());
	}

	private static DispatchDecision.Refuse keyReused() {
		return new DispatchDecision.Refuse(Problem
			.unknown(Problem.Code.IDEMPOTENCY_KEY_REUSED,
					"another request (method, path, query or body) was sent with this idempotency key before;"
							+ " use a new value after the dispatch token")
			.toRefusal());
	}

	private static DispatchDecision.Refuse tableFull() {
		return new DispatchDecision.Refuse(
				Problem.notRun(Problem.Code.NO_CAPACITY, "this host has reached its limit of idempotency records")
					.retryAfter(TABLE_FULL_RETRY_AFTER_MILLIS)
					.toRefusal());
	}

	@Override
	public int running() {
		return this.running.get();
	}

	@Override
	public boolean idle(long idleMillis) {
		return this.running.get() == 0 && this.clock.millis() - this.lastArrivalMillis.get() >= idleMillis;
	}

	/**
	 * Returns the number of records in memory.
	 * @return the number of open and closed records
	 */
	public long records() {
		return this.table.size();
	}

	/**
	 * Returns the size of the answers kept for repeats.
	 * @return the size of the header fields and bodies, in bytes
	 */
	public long answerBytes() {
		return this.table.answerBytes();
	}

	private final class OpenTableRecord implements OpenRecord {

		private final RecordTable.Slice slice;

		private final String key;

		private final IdempotencyRecord record;

		OpenTableRecord(RecordTable.Slice slice, String key, IdempotencyRecord record) {
			this.slice = slice;
			this.key = key;
			this.record = record;
		}

		@Override
		public void complete(CallerAnswer answer) {
			if (this.record.complete(answer)) {
				LocalIdempotencyRegistry.this.running.decrementAndGet();
				LocalIdempotencyRegistry.this.table.keepAnswer(this.slice, this.record, answer);
			}
		}

		@Override
		public void removeAsNotRun(CallerAnswer.Refused refusal) {
			if (this.record.complete(refusal)) {
				LocalIdempotencyRegistry.this.running.decrementAndGet();
				this.slice.remove(this.key, this.record);
			}
		}

	}

	/**
	 * Builds a {@link LocalIdempotencyRegistry}.
	 */
	public static final class Builder {

		private final String hostId;

		private final String processId;

		private Clock clock = Clock.system();

		private long recordRetentionMillis = RECORD_RETENTION_MILLIS;

		// Limits the open and closed records in memory. Enough for 160 requests per
		// second at one host, each kept for the 12 minutes of RECORD_RETENTION_MILLIS.
		private long maximumRecords = 115_200;

		// Limits the header fields and bodies of the answers that are kept for repeats.
		private long maximumAnswerBytes = 32 * 1024 * 1024;

		Builder(String hostId, String processId) {
			this.hostId = hostId;
			this.processId = processId;
		}

		public Builder clock(Clock clock) {
			this.clock = clock;
			return this;
		}

		public Builder maximumRecords(long maximumRecords) {
			this.maximumRecords = maximumRecords;
			return this;
		}

		public Builder maximumAnswerBytes(long maximumAnswerBytes) {
			this.maximumAnswerBytes = maximumAnswerBytes;
			return this;
		}

		// For tests that need another retention time.
		Builder recordRetentionMillis(long recordRetentionMillis) {
			this.recordRetentionMillis = recordRetentionMillis;
			return this;
		}

		public LocalIdempotencyRegistry build() {
			return new LocalIdempotencyRegistry(this);
		}

	}

}
