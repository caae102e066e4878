package org.plantainspur.core.once;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;

import org.plantainspur.core.request.CallerAnswer;
import org.plantainspur.core.request.Headers;
import org.plantainspur.core.request.Problem;

/**
 * The record of one non-idempotent request.
 */
final class OnceRecord {

	private static final CompletableFuture<CallerAnswer> NOT_KEPT = CompletableFuture.completedFuture(
			Problem
				.unknown(Problem.Code.ANSWER_NOT_KEPT,
						"the request with this idempotency key was answered, but its answer is no longer kept")
				.refuse());

	private final String fingerprint;

	private final AtomicReference<CompletableFuture<CallerAnswer>> answer = new AtomicReference<>(
			new CompletableFuture<>());

	OnceRecord(String fingerprint) {
		this.fingerprint = fingerprint;
	}

	boolean sameRequest(String fingerprint) {
		return this.fingerprint.equals(fingerprint);
	}

	CompletableFuture<CallerAnswer> answer() {
		return this.answer.get();
	}

	/**
	 * Completes the record.
	 * @param answer the final answer
	 * @return whether this call completed it
	 */
	boolean complete(CallerAnswer answer) {
		return this.answer.get().complete(answer);
	}

	void dropAnswer() {
		this.answer.set(NOT_KEPT);
	}

	static long sizeOf(CallerAnswer answer) {
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
