package org.plantainspur.core.once;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

import org.plantainspur.core.request.CallerAnswer;
import org.plantainspur.core.request.Problem;

/**
 * Lets this process alone dispatch the requests whose dispatch token it has minted.
 */
public final class ProcessOnceGate implements OnceGate {

	private final String hostId;

	private final String processId;

	private final ConcurrentMap<String, CompletableFuture<CallerAnswer>> records = new ConcurrentHashMap<>();

	/**
	 * Creates a gate.
	 * @param hostId this host
	 * @param processId this process
	 */
	public ProcessOnceGate(String hostId, String processId) {
		this.hostId = hostId;
		this.processId = processId;
	}

	@Override
	public String mint(String accountId) {
		return this.hostId + "~" + this.processId;
	}

	@Override
	public OnceDecision enter(String accountId, String idempotencyKey) {
		int end = idempotencyKey.indexOf('.');
		String[] token = (end > 0) ? idempotencyKey.substring(0, end).split("~") : new String[0];
		if (token.length != 2) {
			return new OnceDecision.Refuse(Problem
				.notRun(Problem.Code.IDEMPOTENCY_KEY_NOT_VALID,
						"the idempotency key '" + idempotencyKey + "' holds no dispatch token; ask for one at "
								+ "/.plantainspur/locate and send <dispatch token>.<a value of your own>")
				.refuse());
		}
		if (!token[0].equals(this.hostId) || !token[1].equals(this.processId)) {
			return new OnceDecision.Relay(token[0], token[1]);
		}
		String name = accountId + "\n" + idempotencyKey;
		CompletableFuture<CallerAnswer> answer = new CompletableFuture<>();
		CompletableFuture<CallerAnswer> first = this.records.putIfAbsent(name, answer);
		return (first != null) ? new OnceDecision.Join(first) : new OnceDecision.Dispatch(new Record(name, answer));
	}

	private final class Record implements Ticket {

		private final String name;

		private final CompletableFuture<CallerAnswer> answer;

		Record(String name, CompletableFuture<CallerAnswer> answer) {
			this.name = name;
			this.answer = answer;
		}

		@Override
		public void answered(CallerAnswer answer) {
			this.answer.complete(answer);
		}

		@Override
		public void notRun(CallerAnswer.Refused refusal) {
			ProcessOnceGate.this.records.remove(this.name);
			this.answer.complete(refusal);
		}

	}

}
