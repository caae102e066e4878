package org.plantainspur.core.currency;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.configuration.ConfigurationFollower;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.membership.Membership;
import org.plantainspur.core.membership.PeerProgress;
import org.plantainspur.core.peer.PeerLink;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.time.Clock;

/**
 * Asks every other member for its state and answers their questions. The host calls
 * {@link #tick()} every 500 ms from one thread.
 */
public final class HeartbeatExchange implements PeerProgress {

	/** How long a member may give no answer before it is reported as silent. */
	public static final long SILENCE_MILLIS = 3000;

	/** The most silent hosts in one heartbeat, which bounds its size. */
	static final int MAXIMUM_SILENT = 64;

	private static final long ANSWER_TIMEOUT_MILLIS = 1000;

	/**
	 * A gap between ticks of this length means that this process did not run, so that
	 * missing answers say nothing about the other members.
	 */
	private static final long PAUSE_MILLIS = 1500;

	/**
	 * Up to this many members every answer is weighed at once. Weighing walks all
	 * members, so that above it the work of one tick would grow with their square: 35% of
	 * a core at 950 members.
	 */
	private static final int WEIGHED_AT_ONCE = 64;

	/**
	 * Above {@link #WEIGHED_AT_ONCE} members answers are weighed together. A later
	 * weighing is safe: evidence holds from when the question was asked.
	 */
	private static final long WEIGH_INTERVAL_MILLIS = 50;

	private static final long NO_READ = -1;

	private final Clock clock;

	private final ConfigurationView view;

	private final ConfigurationFollower follower;

	private final PeerLink link;

	private final Member self;

	private final QuorumCurrencyRule rule;

	private final NewerSequence newer;

	private final Map<String, HeardMember> heard = new ConcurrentHashMap<>();

	private final Map<String, Long> expectedSince = new ConcurrentHashMap<>();

	private final AtomicLong lastTickMillis = new AtomicLong(Long.MIN_VALUE);

	private final AtomicLong lastWeighMillis = new AtomicLong(Long.MIN_VALUE);

	private final AtomicReference<List<String>> silentAtTick = new AtomicReference<>(List.of());

	private final AtomicBoolean leaving = new AtomicBoolean();

	/**
	 * Creates the exchange.
	 * @param clock the process clock
	 * @param view the configuration in force
	 * @param follower reads the platform
	 * @param link sends to other members
	 * @param self this process
	 * @param rule the rule that the answers are evidence for
	 * @param newer told when a member has a newer sequence number; must not block
	 */
	public HeartbeatExchange(Clock clock, ConfigurationView view, ConfigurationFollower follower, PeerLink link,
			Member self, QuorumCurrencyRule rule, NewerSequence newer) {
		this.clock = clock;
		this.view = view;
		this.follower = follower;
		this.link = link;
		this.self = self;
		this.rule = rule;
		this.newer = newer;
		view.listen((configuration) -> weigh());
		follower.listen(this::weigh);
	}

	/**
	 * Asks every other member. Answers come on the link's threads.
	 */
	public void tick() {
		long now = this.clock.millis();
		long before = this.lastTickMillis.getAndSet(now);
		if (before != Long.MIN_VALUE && now - before > PAUSE_MILLIS) {
			this.expectedSince.replaceAll((host, since) -> now);
		}
		forgetDeparted();
		weigh();
		this.silentAtTick.set(silentHosts());
		PeerMessage.Heartbeat question = state();
		for (Member member : this.view.current().membership().members()) {
			if (!member.hostId().equals(this.self.hostId())) {
				this.expectedSince.putIfAbsent(member.hostId(), now);
				ask(member, question);
			}
		}
	}

	/**
	 * Answers the question of another member.
	 * @param question its state
	 * @return this host's state
	 */
	public PeerMessage.Heartbeat answer(PeerMessage.Heartbeat question) {
		Member asker = this.view.current().membership().member(question.hostId());
		if (asker != null) {
			noticeSequence(asker, question.sequence());
		}
		return state();
	}

	/**
	 * Tells the other members that this process is about to stop.
	 */
	public void leave() {
		this.leaving.set(true);
	}

	/**
	 * Returns the members that gave no answer for 3 s.
	 * @return their hosts in order, at most 64
	 */
	public List<String> silentHosts() {
		long now = this.clock.millis();
		return this.view.current()
			.membership()
			.members()
			.stream()
			.map(Member::hostId)
			.filter((host) -> now - this.expectedSince.getOrDefault(host, now) > SILENCE_MILLIS)
			.limit(MAXIMUM_SILENT)
			.toList();
	}

	/**
	 * Returns the newest answer of a member.
	 * @param hostId the member's host
	 * @return its answer, or {@code null} if none came within the fencing timeout
	 */
	public @Nullable HeardMember heard(String hostId) {
		HeardMember answer = this.heard.get(hostId);
		boolean fresh = answer != null
				&& this.clock.millis() - answer.askedMillis() <= QuorumCurrencyRule.FENCING_TIMEOUT_MILLIS;
		return fresh ? answer : null;
	}

	@Override
	public boolean released(Member earlierHolder, long sequence) {
		HeardMember answer = this.heard.get(earlierHolder.hostId());
		if (answer != null && answer.processId().equals(earlierHolder.processId()) && answer.sequence() >= sequence) {
			return true;
		}
		Member present = this.view.current().membership().member(earlierHolder.hostId());
		if (present == null || !present.peerAddress().equals(earlierHolder.peerAddress())) {
			return false;
		}
		return present.resigned() || !present.processId().equals(earlierHolder.processId());
	}

	private void ask(Member member, PeerMessage.Heartbeat question) {
		long asked = this.clock.millis();
		this.link.ask(member, question, ANSWER_TIMEOUT_MILLIS).whenComplete((answer, failure) -> {
			if (answer instanceof PeerMessage.Heartbeat heartbeat && heartbeat.hostId().equals(member.hostId())) {
				record(member, heartbeat, asked);
			}
		});
	}

	private void record(Member member, PeerMessage.Heartbeat answer, long asked) {
		long now = this.clock.millis();
		long age = answer.platformReadAgeMillis();
		long read = (age == NO_READ) ? Long.MIN_VALUE : asked - age;
		HeardMember next = new HeardMember(asked, now, answer.processId(), answer.sequence(), read,
				answer.silentHosts());
		this.heard.merge(member.hostId(), next,
				(old, fresh) -> (fresh.askedMillis() >= old.askedMillis()) ? fresh : old);
		this.expectedSince.put(member.hostId(), now);
		if (!large() || dueToWeigh(now)) {
			weigh();
		}
		noticeSequence(member, answer.sequence());
	}

	private void noticeSequence(Member member, long sequence) {
		if (sequence > this.view.current().sequence()) {
			this.newer.noticed(member, sequence);
		}
	}

	private void forgetDeparted() {
		Membership membership = this.view.current().membership();
		this.heard.keySet().removeIf((host) -> membership.member(host) == null);
		this.expectedSince.keySet().removeIf((host) -> membership.member(host) == null);
	}

	private boolean large() {
		return this.view.current().membership().size() > WEIGHED_AT_ONCE;
	}

	private boolean dueToWeigh(long now) {
		long last = this.lastWeighMillis.get();
		return (last == Long.MIN_VALUE || now - last >= WEIGH_INTERVAL_MILLIS)
				&& this.lastWeighMillis.compareAndSet(last, now);
	}

	private void weigh() {
		this.rule.update(this.view.current(), this.follower.lastReadMillis(), this.heard);
	}

	private PeerMessage.Heartbeat state() {
		long age = this.follower.readAgeMillis();
		long sequence = this.view.current().sequence();
		return new PeerMessage.Heartbeat(this.self.hostId(), this.self.processId(),
				this.rule.established() ? sequence : -1, (age == Long.MAX_VALUE) ? NO_READ : age, this.leaving.get(),
				large() ? this.silentAtTick.get() : silentHosts());
	}

	/**
	 * Is told that a member has a newer sequence number in force.
	 */
	@FunctionalInterface
	public interface NewerSequence {

		/**
		 * Starts a poll of the platform or a request to the member.
		 * @param member the member
		 * @param sequence its sequence number
		 */
		void noticed(Member member, long sequence);

	}

}
