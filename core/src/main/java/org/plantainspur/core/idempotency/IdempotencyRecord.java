package org.plantainspur.core.idempotency;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;

import org.plantainspur.core.request.CallerAnswer;
import org.plantainspur.core.request.Headers;
import org.plantainspur.core.request.Problem;

/**
 * The record of one non-idempotent request: its fingerprint and its answer, once there is
 * one.
 */
final class IdempotencyRecord {

	/** Given to repeats in place of an answer that was dropped to free memory. */
	private static final CompletableFuture<CallerAnswer> ANSWER_DROPPED = CompletableFuture
		.completedFuture(Problem
			.unknown(Problem.Code.ANSWER_NOT_KEPT,
					"the request with this idempotency key was answered, but its answer is no longer stored")
			.toRefusal());

	private final String fingerprint;

	private final AtomicReference<CompletableFuture<CallerAnswer>> answer = new AtomicReference<>(
			new CompletableFuture<>());

	IdempotencyRecord(String fingerprint) {
		this.fingerprint = fingerprint;
	}

	boolean sameRequest(String fingerprint) {
		return this.fingerprint.equals(fingerprint);
	}

	CompletableFuture<CallerAnswer> answer() {
		return this.answer.get();
	}

	/**
	 * Stores the answer and hands it to the waiting repeats, unless there is one already.
	 * @param answer the final answer
	 * @return whether this call stored the answer
	 */
	boolean complete(CallerAnswer answer) {
		return this.answer.get().complete(answer);
	}

	void dropAnswer() {
		this.answer.set(ANSWER_DROPPED);
	}

	// A refusal counts as 0, so that it is kept for as long as its record.
	static long sizeInBytes(CallerAnswer answer) {
		if (!(answer instanceof CallerAnswer.Answered answered)) {
			return 0;
		}
		long size = answered.body().length;
		for (Headers.Field field : answered.headers().fields()) {
			size += field.name().length() + field.value().length();
		}
		return size;
	}

}
