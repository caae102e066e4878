package org.plantainspur.core.currency;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.idempotency.TokenReadiness;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.time.Clock;

/**
 * Lets this process issue dispatch tokens once every other member can relay requests to
 * it: the member knows that this process has joined, and its messages arrive here. Before
 * that, a caller that sends its request to another host is told that the outcome is
 * unknown.
 */
public final class RelayTokenReadiness implements TokenReadiness {

	/**
	 * The longest wait for the other members after this process has joined. A member that
	 * sends nothing for this long counts as silent.
	 */
	static final long REACH_WAIT_MILLIS = HeartbeatExchange.SILENCE_MILLIS;

	/**
	 * The longest wait to join. After that the process issues tokens for the requests
	 * that it can serve itself, those on open routes while the platform is unavailable.
	 */
	static final long JOIN_WAIT_MILLIS = 10_000;

	private final Clock clock;

	private final ConfigurationView view;

	private final HeartbeatExchange heartbeats;

	private final Member self;

	private final long startedMillis;

	private final AtomicReference<Joined> joined = new AtomicReference<>(Joined.NOT_YET);

	private final AtomicBoolean ready = new AtomicBoolean();

	/**
	 * Creates the rule for a process that has not joined yet.
	 * @param clock the process clock
	 * @param view the configuration in force, which lists the members
	 * @param heartbeats the heartbeats of the other members
	 * @param self this process
	 */
	public RelayTokenReadiness(Clock clock, ConfigurationView view, HeartbeatExchange heartbeats, Member self) {
		this.clock = clock;
		this.view = view;
		this.heartbeats = heartbeats;
		this.self = self;
		this.startedMillis = clock.millis();
		view.addListener(this::recordJoin);
	}

	@Override
	public boolean mayIssue() {
		if (!this.ready.get() && isReady()) {
			this.ready.set(true);
		}
		return this.ready.get();
	}

	private boolean isReady() {
		long now = this.clock.millis();
		Joined join = this.joined.get();
		if (join.sequence() == Joined.NEVER) {
			return now - this.startedMillis >= JOIN_WAIT_MILLIS;
		}
		return now - join.sinceMillis() >= REACH_WAIT_MILLIS || this.view.current()
			.membership()
			.members()
			.stream()
			.allMatch((member) -> isSelf(member) || this.heartbeats.hasReachedThisProcess(member, join.sequence()));
	}

	private void recordJoin(Configuration configuration) {
		Member member = configuration.membership().member(this.self.hostId());
		if (member != null && isSelf(member)) {
			this.joined.compareAndSet(Joined.NOT_YET, new Joined(configuration.sequence(), this.clock.millis()));
		}
	}

	private boolean isSelf(Member member) {
		return member.hostId().equals(this.self.hostId()) && member.processId().equals(this.self.processId());
	}

	/**
	 * When this process joined.
	 *
	 * @param sequence the first sequence number in force here that has this process as a
	 * member
	 * @param sinceMillis when it was put in force, in milliseconds on the process clock
	 */
	private record Joined(long sequence, long sinceMillis) {

		static final long NEVER = Long.MAX_VALUE;

		static final Joined NOT_YET = new Joined(NEVER, 0);

	}

}
