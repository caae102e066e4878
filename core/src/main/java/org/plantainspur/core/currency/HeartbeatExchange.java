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
 * Sends heartbeats to every other member and answers theirs. A heartbeat and its response
 * each carry the state of their sender. The host calls {@link #sendHeartbeats()} every
 * 500 ms from one thread.
 */
public final class HeartbeatExchange implements PeerProgress {

	/**
	 * The time without a response, in milliseconds, after which a member is reported as
	 * silent.
	 */
	public static final long SILENCE_MILLIS = 3000;

	/**
	 * The maximum number of silent hosts in one heartbeat, which bounds the size of the
	 * message.
	 */
	static final int MAXIMUM_SILENT_HOSTS = 64;

	private static final long RESPONSE_TIMEOUT_MILLIS = 1000;

	/**
	 * A longer gap than this between two rounds of heartbeats means that this process was
	 * paused. Missing responses then say nothing about the other members, so the time
	 * without a response starts again at 0 for each of them.
	 */
	private static final long PROCESS_PAUSE_MILLIS = 1500;

	/**
	 * The largest fleet, in members, in which every response updates the currency rule at
	 * once and every heartbeat lists the silent hosts as of its sending. Both visit all
	 * members, so the work of one round of heartbeats would grow with the square of their
	 * number: the updates would take 35% of a core at 950 members.
	 */
	private static final int IMMEDIATE_UPDATE_MEMBERS = 64;

	/**
	 * The shortest time between two updates that responses cause in a fleet of more than
	 * {@link #IMMEDIATE_UPDATE_MEMBERS} members. A delayed update is safe, since a
	 * response is evidence only as of the time its heartbeat was sent.
	 */
	private static final long UPDATE_INTERVAL_MILLIS = 50;

	/**
	 * The age of the last read that a heartbeat carries if its sender has not completed a
	 * read of the platform yet.
	 */
	private static final long NO_READ = -1;

	private final Clock clock;

	private final ConfigurationView view;

	private final ConfigurationFollower follower;

	private final PeerLink link;

	private final Member self;

	private final QuorumCurrencyRule rule;

	private final NewerSequenceListener newerListener;

	private final Map<String, HeartbeatResponse> responses = new ConcurrentHashMap<>();

	// The newest state that each member has sent in a heartbeat of its own, by host name.
	private final Map<String, SenderState> senderStates = new ConcurrentHashMap<>();

	// The time of the newest response by host name or, before the first response, of the
	// first heartbeat.
	private final Map<String, Long> silentSince = new ConcurrentHashMap<>();

	private final AtomicLong lastRoundMillis = new AtomicLong(Long.MIN_VALUE);

	private final AtomicLong lastUpdateMillis = new AtomicLong(Long.MIN_VALUE);

	private final AtomicReference<List<String>> lastSilentHosts = new AtomicReference<>(List.of());

	private final AtomicBoolean leaving = new AtomicBoolean();

	/**
	 * Creates the exchange.
	 * @param clock the process clock
	 * @param view the configuration in force
	 * @param follower reads the platform
	 * @param link sends to other members
	 * @param self this process
	 * @param rule the rule that uses the responses as evidence
	 * @param newerListener called when a member has a newer sequence number in force;
	 * must not block
	 */
	public HeartbeatExchange(Clock clock, ConfigurationView view, ConfigurationFollower follower, PeerLink link,
			Member self, QuorumCurrencyRule rule, NewerSequenceListener newerListener) {
		this.clock = clock;
		this.view = view;
		this.follower = follower;
		this.link = link;
		this.self = self;
		this.rule = rule;
		this.newerListener = newerListener;
		view.addListener((configuration) -> updateRule());
		follower.addReadListener(this::updateRule);
	}

	/**
	 * Sends a heartbeat to every other member. Responses are handled on the threads of
	 * the link.
	 */
	public void sendHeartbeats() {
		long now = this.clock.millis();
		long before = this.lastRoundMillis.getAndSet(now);
		if (before != Long.MIN_VALUE && now - before > PROCESS_PAUSE_MILLIS) {
			this.silentSince.replaceAll((host, since) -> now);
		}
		removeDeparted();
		updateRule();
		this.lastSilentHosts.set(silentHosts());
		PeerMessage.Heartbeat request = ownHeartbeat();
		for (Member member : this.view.current().membership().members()) {
			if (!member.hostId().equals(this.self.hostId())) {
				this.silentSince.putIfAbsent(member.hostId(), now);
				sendHeartbeat(member, request);
			}
		}
	}

	/**
	 * Answers the heartbeat of another member.
	 * @param request the heartbeat with the state of its sender
	 * @return a heartbeat with the state of this host
	 */
	public PeerMessage.Heartbeat answer(PeerMessage.Heartbeat request) {
		Member sender = this.view.current().membership().member(request.hostId());
		if (sender != null) {
			this.senderStates.put(request.hostId(), new SenderState(request.processId(), request.sequence()));
			notifyIfNewer(sender, request.sequence());
		}
		return ownHeartbeat();
	}

	/**
	 * Marks this process as about to stop in all further heartbeats and responses.
	 */
	public void announceLeaving() {
		this.leaving.set(true);
	}

	/**
	 * Returns the members that this host has received no response from for 3 s.
	 * @return the names of their hosts in ascending order, at most 64
	 */
	public List<String> silentHosts() {
		long now = this.clock.millis();
		return this.view.current()
			.membership()
			.members()
			.stream()
			.map(Member::hostId)
			.filter((host) -> now - this.silentSince.getOrDefault(host, now) > SILENCE_MILLIS)
			.limit(MAXIMUM_SILENT_HOSTS)
			.toList();
	}

	/**
	 * Returns the newest response of a member.
	 * @param hostId the host name of the member
	 * @return the response, or {@code null} if no heartbeat that was sent within the
	 * fencing timeout was answered
	 */
	public @Nullable HeartbeatResponse recentResponse(String hostId) {
		HeartbeatResponse response = this.responses.get(hostId);
		boolean fresh = response != null
				&& this.clock.millis() - response.sentMillis() <= QuorumCurrencyRule.FENCING_TIMEOUT_MILLIS;
		return fresh ? response : null;
	}

	/**
	 * Returns whether a member has shown that its messages reach this process and that it
	 * has a change in force. An answer to a heartbeat of this process shows only the
	 * latter, since each direction has a connection of its own.
	 * @param member the other member
	 * @param sequence the sequence number of the change
	 * @return whether a heartbeat that the member sent had this sequence number or a
	 * later one
	 */
	public boolean hasReachedThisProcess(Member member, long sequence) {
		SenderState state = this.senderStates.get(member.hostId());
		return state != null && state.processId().equals(member.processId()) && state.sequence() >= sequence;
	}

	@Override
	public boolean hasReleased(Member previousHolder, long sequence) {
		HeartbeatResponse response = this.responses.get(previousHolder.hostId());
		if (response != null && response.processId().equals(previousHolder.processId())
				&& response.sequence() >= sequence) {
			return true;
		}
		Member current = this.view.current().membership().member(previousHolder.hostId());
		if (current == null || !current.peerAddress().equals(previousHolder.peerAddress())) {
			return false;
		}
		return current.resigned() || !current.processId().equals(previousHolder.processId());
	}

	private void sendHeartbeat(Member member, PeerMessage.Heartbeat request) {
		long sent = this.clock.millis();
		this.link.ask(member, request, RESPONSE_TIMEOUT_MILLIS).whenComplete((answer, failure) -> {
			if (answer instanceof PeerMessage.Heartbeat heartbeat && heartbeat.hostId().equals(member.hostId())) {
				recordResponse(member, heartbeat, sent);
			}
		});
	}

	private void recordResponse(Member member, PeerMessage.Heartbeat answer, long sent) {
		long now = this.clock.millis();
		long age = answer.platformReadAgeMillis();
		long platformReadMillis = (age == NO_READ) ? Long.MIN_VALUE : sent - age;
		HeartbeatResponse received = new HeartbeatResponse(sent, now, answer.processId(), answer.sequence(),
				platformReadMillis, answer.silentHosts());
		this.responses.merge(member.hostId(), received,
				(old, fresh) -> (fresh.sentMillis() >= old.sentMillis()) ? fresh : old);
		this.silentSince.put(member.hostId(), now);
		if (!isLargeFleet() || isUpdateDue(now)) {
			updateRule();
		}
		notifyIfNewer(member, answer.sequence());
	}

	private void notifyIfNewer(Member member, long sequence) {
		if (sequence > this.view.current().sequence()) {
			this.newerListener.newerSequence(member, sequence);
		}
	}

	private void removeDeparted() {
		Membership membership = this.view.current().membership();
		this.responses.keySet().removeIf((host) -> membership.member(host) == null);
		this.senderStates.keySet().removeIf((host) -> membership.member(host) == null);
		this.silentSince.keySet().removeIf((host) -> membership.member(host) == null);
	}

	private boolean isLargeFleet() {
		return this.view.current().membership().size() > IMMEDIATE_UPDATE_MEMBERS;
	}

	private boolean isUpdateDue(long now) {
		long last = this.lastUpdateMillis.get();
		return (last == Long.MIN_VALUE || now - last >= UPDATE_INTERVAL_MILLIS)
				&& this.lastUpdateMillis.compareAndSet(last, now);
	}

	private void updateRule() {
		this.rule.update(this.view.current(), this.follower.lastReadMillis(), this.responses);
	}

	private PeerMessage.Heartbeat ownHeartbeat() {
		long age = this.follower.readAgeMillis();
		long sequence = this.view.current().sequence();
		return new PeerMessage.Heartbeat(this.self.hostId(), this.self.processId(),
				this.rule.isEstablished() ? sequence : -1, (age == Long.MAX_VALUE) ? NO_READ : age, this.leaving.get(),
				isLargeFleet() ? this.lastSilentHosts.get() : silentHosts());
	}

	/**
	 * Reacts to a member that has a newer sequence number in force than this host.
	 */
	@FunctionalInterface
	public interface NewerSequenceListener {

		/**
		 * Starts to fetch the newer changes from the platform or from the member.
		 * @param member the member
		 * @param sequence the sequence number that the member has in force
		 */
		void newerSequence(Member member, long sequence);

	}

	/**
	 * The state that a member sent in a heartbeat.
	 *
	 * @param processId the process that sent it
	 * @param sequence the sequence number that the process had in force, -1 if it was not
	 * established
	 */
	private record SenderState(String processId, long sequence) {
	}

}
