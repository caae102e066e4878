package org.plantainspur.core.once;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.plantainspur.core.request.CallerAnswer;
import org.plantainspur.core.request.Problem;
import org.plantainspur.core.time.Clock;

/**
 * Lets this process alone dispatch the requests whose dispatch token it has issued. For
 * example {@code ProcessOnceGate.builder("pdx-7", processId).clock(clock).build()}.
 */
public final class ProcessOnceGate implements OnceGate {

	/** How long a token is accepted after its issue, in milliseconds. */
	public static final long TOKEN_MILLIS = 10 * 60_000;

	/**
	 * How long a record is kept after the issue of its token, in milliseconds. Longer
	 * than a token is accepted, so that a late repeat finds the record or is refused.
	 */
	public static final long RECORD_MILLIS = 12 * 60_000;

	private static final long FULL_RETRY_MILLIS = 5000;

	private final TokenMint mint;

	private final Clock clock;

	private final RecordTable table;

	private final AtomicInteger running = new AtomicInteger();

	private final AtomicLong lastUseMillis;

	private ProcessOnceGate(Builder builder) {
		this.mint = new TokenMint(builder.hostId, builder.processId);
		this.clock = builder.clock;
		this.table = new RecordTable(builder.recordMillis, builder.maximumRecords, builder.answerBytes);
		this.lastUseMillis = new AtomicLong(this.clock.millis());
	}

	/**
	 * Returns a builder.
	 * @param hostId this host
	 * @param processId this process
	 * @return a builder with the process clock and the default bounds
	 */
	public static Builder builder(String hostId, String processId) {
		return new Builder(hostId, processId);
	}

	@Override
	public String mint(String accountId) {
		return this.mint.mint(accountId, this.clock.millis());
	}

	@Override
	public OnceDecision enter(String accountId, String idempotencyKey, String fingerprint) {
		DispatchToken token;
		try {
			token = DispatchToken.ofKey(idempotencyKey);
		}
		catch (DispatchToken.MalformedException ex) {
			return notValid("the idempotency key " + ex.getMessage());
		}
		if (!this.mint.names(token)) {
			return new OnceDecision.Relay(token.hostId(), token.processId());
		}
		this.lastUseMillis.set(this.clock.millis());
		this.table.expire(this.clock.millis());
		if (expired(token)) {
			return tooOld();
		}
		if (!this.mint.issued(token, accountId)) {
			return notIssued(token, idempotencyKey);
		}
		return enterRecord(token, idempotencyKey, fingerprint);
	}

	@Override
	public boolean certainlyNotRun(String idempotencyKey) {
		try {
			DispatchToken token = DispatchToken.ofKey(idempotencyKey);
			// The record is looked up before the age is checked: records outlive tokens,
			// so a token that is not expired afterwards had its record at the look-up.
			return this.mint.names(token) && !this.table.holds(token.issuedMillis(), idempotencyKey) && !expired(token);
		}
		catch (DispatchToken.MalformedException ex) {
			return true;
		}
	}

	private OnceDecision enterRecord(DispatchToken token, String key, String fingerprint) {
		RecordTable.Slice slice = this.table.slice(token.issuedMillis());
		OnceRecord record = new OnceRecord(fingerprint);
		OnceRecord first = slice.putIfAbsent(key, record);
		if (first != null) {
			return first.sameRequest(fingerprint) ? new OnceDecision.Join(first.answer()) : reused();
		}
		// A thread that was paused since the first check may have inserted into a slice
		// created anew after the old one, with the earlier record, had expired.
		if (expired(token)) {
			return withdraw(slice, key, record, tooOld());
		}
		if (this.table.overFull()) {
			return withdraw(slice, key, record, full());
		}
		this.running.incrementAndGet();
		return new OnceDecision.Dispatch(new OpenTicket(slice, key, record));
	}

	// A repeat may have joined the record already. It is completed before the removal,
	// since
	// afterwards another request with this key may be dispatched.
	private static OnceDecision withdraw(RecordTable.Slice slice, String key, OnceRecord record,
			OnceDecision.Refuse refusal) {
		record.complete(refusal.refusal());
		slice.remove(key, record);
		return refusal;
	}

	private boolean expired(DispatchToken token) {
		return this.clock.millis() - token.issuedMillis() > TOKEN_MILLIS;
	}

	// The account's code does not fit. If the key was issued to another account, its
	// request may have run under that account.
	private OnceDecision notIssued(DispatchToken token, String key) {
		if (this.table.holds(token.issuedMillis(), key)) {
			return new OnceDecision.Refuse(Problem
				.unknown(Problem.Code.IDEMPOTENCY_KEY_REUSED,
						"a request with this idempotency key was sent by another client account")
				.refuse());
		}
		return notValid("the authentication code of the dispatch token does not fit its other fields and the account");
	}

	private static OnceDecision.Refuse notValid(String fault) {
		return new OnceDecision.Refuse(Problem
			.notRun(Problem.Code.IDEMPOTENCY_KEY_NOT_VALID,
					fault + "; ask for a dispatch token at /.plantainspur/locate and send"
							+ " <dispatch token>.<a value of your own>")
			.refuse());
	}

	private static OnceDecision.Refuse tooOld() {
		return new OnceDecision.Refuse(Problem
			.unknown(Problem.Code.DISPATCH_TOKEN_EXPIRED,
					"the dispatch token was issued more than " + TOKEN_MILLIS / 60_000 + " minutes ago")
			.refuse());
	}

	private static OnceDecision.Refuse reused() {
		return new OnceDecision.Refuse(Problem
			.unknown(Problem.Code.IDEMPOTENCY_KEY_REUSED,
					"another request (method, path, query or body) was sent with this idempotency key before;"
							+ " use a new value after the dispatch token")
			.refuse());
	}

	private static OnceDecision.Refuse full() {
		return new OnceDecision.Refuse(
				Problem.notRun(Problem.Code.NO_CAPACITY, "this host holds as many records of requests as it may keep")
					.retryAfter(FULL_RETRY_MILLIS)
					.refuse());
	}

	@Override
	public int running() {
		return this.running.get();
	}

	@Override
	public boolean idle(long quietMillis) {
		return this.running.get() == 0 && this.clock.millis() - this.lastUseMillis.get() >= quietMillis;
	}

	/**
	 * Returns the number of records.
	 * @return the number
	 */
	public long records() {
		return this.table.size();
	}

	/**
	 * Returns the memory of the answers kept for repeats.
	 * @return the size in bytes
	 */
	public long answerBytes() {
		return this.table.keptBytes();
	}

	private final class OpenTicket implements Ticket {

		private final RecordTable.Slice slice;

		private final String key;

		private final OnceRecord record;

		OpenTicket(RecordTable.Slice slice, String key, OnceRecord record) {
			this.slice = slice;
			this.key = key;
			this.record = record;
		}

		@Override
		public void answered(CallerAnswer answer) {
			if (this.record.complete(answer)) {
				ProcessOnceGate.this.running.decrementAndGet();
				ProcessOnceGate.this.table.answered(this.slice, this.record, answer);
			}
		}

		@Override
		public void notRun(CallerAnswer.Refused refusal) {
			if (this.record.complete(refusal)) {
				ProcessOnceGate.this.running.decrementAndGet();
				this.slice.remove(this.key, this.record);
			}
		}

	}

	/**
	 * Builds a {@link ProcessOnceGate}.
	 */
	public static final class Builder {

		private final String hostId;

		private final String processId;

		private Clock clock = Clock.system();

		private long recordMillis = RECORD_MILLIS;

		// 160 requests a second at one host for 12 minutes.
		private long maximumRecords = 115_200;

		private long answerBytes = 32 * 1024 * 1024;

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

		public Builder answerBytes(long answerBytes) {
			this.answerBytes = answerBytes;
			return this;
		}

		// Only a trial of the tests sets another time than the default.
		Builder recordMillis(long recordMillis) {
			this.recordMillis = recordMillis;
			return this;
		}

		public ProcessOnceGate build() {
			return new ProcessOnceGate(this);
		}

	}

}
