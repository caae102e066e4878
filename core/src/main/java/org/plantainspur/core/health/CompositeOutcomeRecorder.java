package org.plantainspur.core.health;

import java.util.List;

import org.plantainspur.core.routing.Target;

/**
 * Passes each event to several recorders in order.
 */
public final class CompositeOutcomeRecorder implements OutcomeRecorder {

	private final List<OutcomeRecorder> recorders;

	/**
	 * Creates a recorder that delegates to the given ones.
	 * @param recorders the recorders, called in this order
	 */
	public CompositeOutcomeRecorder(OutcomeRecorder... recorders) {
		this.recorders = List.of(recorders);
	}

	@Override
	public InFlightDispatch dispatchStarted(Target target, String accountId) {
		InFlightDispatch all = InFlightDispatch.NO_OP;
		for (OutcomeRecorder recorder : this.recorders) {
			all = both(all, recorder.dispatchStarted(target, accountId));
		}
		return all;
	}

	private static InFlightDispatch both(InFlightDispatch first, InFlightDispatch second) {
		if (first == InFlightDispatch.NO_OP) {
			return second;
		}
		return (second == InFlightDispatch.NO_OP) ? first : () -> {
			first.close();
			second.close();
		};
	}

	@Override
	public void record(Outcome outcome) {
		this.recorders.forEach((recorder) -> recorder.record(outcome));
	}

	@Override
	public void targetLeaving(Target target) {
		this.recorders.forEach((recorder) -> recorder.targetLeaving(target));
	}

}
