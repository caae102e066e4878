package org.plantainspur.core.health;

import java.util.List;

import org.plantainspur.core.routing.Target;

/**
 * Passes each outcome to several recorders, in order.
 */
public final class OutcomeRecorders implements OutcomeRecorder {

	private final List<OutcomeRecorder> recorders;

	/**
	 * Creates a recorder.
	 * @param recorders the recorders in order
	 */
	public OutcomeRecorders(OutcomeRecorder... recorders) {
		this.recorders = List.of(recorders);
	}

	@Override
	public Running began(Target target, String accountId) {
		Running all = Running.IGNORED;
		for (OutcomeRecorder recorder : this.recorders) {
			all = both(all, recorder.began(target, accountId));
		}
		return all;
	}

	private static Running both(Running first, Running second) {
		if (first == Running.IGNORED) {
			return second;
		}
		return (second == Running.IGNORED) ? first : () -> {
			first.close();
			second.close();
		};
	}

	@Override
	public void record(Outcome outcome) {
		this.recorders.forEach((recorder) -> recorder.record(outcome));
	}

	@Override
	public void leaving(Target target) {
		this.recorders.forEach((recorder) -> recorder.leaving(target));
	}

}
