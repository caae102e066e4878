package org.plantainspur.core.target;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.time.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

class StatementPermitsTests {

	private static final int TRAFFIC_HOSTS = 2;

	private static TargetListing listing(String id, String domain) {
		return new TargetListing(id, "booking", "127.0.0.1", 80, domain, 4, false, 0, 7);
	}

	/** Guards against callers that are told to come back too early, or all at once. */
	@Nested
	class Callers {

		private final ManualClock clock = new ManualClock();

		private final SimulatedHost host = new SimulatedHost("a1", "a", Map.of("a", "r"), List.of(listing("i-1", "a")),
				this.clock);

		@Test
		void areNotToldToWaitIfNoTargetNamesALimit() {
			assertThat(this.host.permits.retryAfterMs("booking")).isZero();
		}

		@Test
		void comeBackOneAfterAnotherAtTheRateOfThisHost() {
			this.host.share.assign(true, Set.of("a1"), Set.of("a1"));
			this.clock.advance(DomainLimitShare.ASSIGNMENT_DELAY_MS);
			this.host.statements.record(listing("i-1", "a").incarnation(), TargetStatement.limitedTo(4));
			assertThat(this.host.trySend("i-1")).as("the interval passes before the first request").isFalse();
			assertThat(this.host.permits.retryAfterMs("booking")).isEqualTo(500);
			assertThat(this.host.permits.retryAfterMs("booking")).isEqualTo(1_000);
			this.clock.advance(500);
			assertThat(this.host.trySend("i-1")).isTrue();
			assertThat(this.host.trySend("i-1")).isFalse();
			assertThat(this.host.permits.retryAfterMs("booking")).isEqualTo(1_000);
		}

		@Test
		void ofAHostWithoutAShareComeBackAtTheRateOfTheTargets() {
			this.host.statements.record(listing("i-1", "a").incarnation(), TargetStatement.limitedTo(4));
			assertThat(this.host.trySend("i-1")).isFalse();
			assertThat(this.host.permits.retryAfterMs("booking")).isEqualTo(250);
			assertThat(this.host.permits.retryAfterMs("booking")).isEqualTo(500);
		}

		@Test
		void areSpreadOverTheLongestTimeAtMost() {
			this.host.statements.record(listing("i-1", "a").incarnation(), TargetStatement.limitedTo(4));
			for (int i = 0; i < 50; i++) {
				assertThat(this.host.permits.retryAfterMs("booking"))
					.isLessThanOrEqualTo(StatementPermits.MAX_RETRY_AFTER_MS);
			}
		}

		@Test
		void waitForAPermitThatComesLater() {
			this.host.statements.record(listing("i-1", "a").incarnation(), TargetStatement.limitedTo(0));
			assertThat(this.host.permits.retryAfterMs("booking")).isEqualTo(10_000);
		}

	}

	/**
	 * Guards against requests to a target that has asked this host to send it nothing for
	 * a while, and against callers that wait for it.
	 */
	@Nested
	class Pause {

		private final ManualClock clock = new ManualClock();

		private final SimulatedHost host = new SimulatedHost("a1", "a", Map.of("a", "r"),
				List.of(listing("i-1", "a"), listing("i-2", "a")), this.clock);

		private final TargetIncarnation first = listing("i-1", "a").incarnation();

		private final TargetIncarnation second = listing("i-2", "a").incarnation();

		@Test
		void endsByItsTimeAndWithTheIncarnation() {
			this.host.statements.pause(this.first, 2_000);
			assertThat(this.host.trySend("i-1")).isFalse();
			assertThat(this.host.trySend("i-2")).isTrue();
			this.clock.advance(1_999);
			assertThat(this.host.trySend("i-1")).isFalse();
			this.clock.advance(1);
			assertThat(this.host.trySend("i-1")).isTrue();
			this.host.statements.pause(this.first, 2_000);
			this.host.registry.replace(List.of(new TargetListing("i-1", "booking", "127.0.0.1", 80, "a", 4, false, 0,
					this.first.startedMs() + 1)));
			assertThat(this.host.trySend("i-1")).isTrue();
		}

		@Test
		void isNotShortenedByAShorterOne() {
			this.host.statements.pause(this.first, 2_000);
			this.host.statements.pause(this.first, 500);
			this.clock.advance(1_000);
			assertThat(this.host.trySend("i-1")).isFalse();
		}

		@Test
		void ofAllTargetsTellsCallersToComeBackAfterTheEarliestEnd() {
			this.host.statements.pause(this.first, 8_000);
			this.host.statements.pause(this.second, 7_000);
			assertThat(this.host.permits.retryAfterMs("booking")).isEqualTo(7_000);
		}

		@Test
		void withdrawsAPermitThatWasTakenBefore() {
			assertThat(this.host.trySend("i-1")).isTrue();
			this.host.statements.pause(this.first, 2_000);
			ObservedTarget target = this.host.registry.target("i-1");
			assertThat(target).isNotNull();
			assertThat(this.host.permits.isWithdrawn(target)).isTrue();
		}

		/** Guards against pauses that make a target look unhealthy. */
		@Test
		void isNoFailureOfTheTarget() {
			AttemptRecorder recorder = new AttemptRecorder(this.clock);
			ObservedTarget target = this.host.registry.target("i-1");
			assertThat(target).isNotNull();
			recorder.recordSent(target);
			assertThat(recorder.recordOutcome(target, "route", new AttemptOutcome.Withheld(), 5)).isFalse();
			assertThat(target.healthEstimate()).isEqualTo(HealthEstimate.INITIAL);
			assertThat(new AttemptOutcome.Withheld().mayHaveRun()).isFalse();
		}

		@Test
		void isNotReportedToOtherHosts() {
			this.host.statements.pause(this.first, 2_000);
			assertThat(this.host.statements.reports()).isEmpty();
		}

	}

	/** Guards against requests to a target that has said that it is leaving. */
	@Nested
	class Leaving {

		private final ManualClock clock = new ManualClock();

		private final SimulatedHost host = new SimulatedHost("a1", "a", Map.of("a", "r"),
				List.of(listing("i-1", "a"), listing("i-2", "a")), this.clock);

		private final TargetIncarnation target = listing("i-1", "a").incarnation();

		@Test
		void lastsAsLongAsTheIncarnation() {
			this.host.statements.record(this.target, new TargetStatement(TargetStatement.UNLIMITED, true));
			this.clock.advance(1);
			this.host.statements.record(this.target, TargetStatement.NONE);
			this.clock.advance(3_600_000);
			this.host.statements.removeOld((listed) -> true);
			assertThat(this.host.trySend("i-1")).isFalse();
			assertThat(this.host.permits.retryAfterMs("booking")).as("it does not come back").isZero();
		}

		@Test
		void isLearnedFromALateReport() {
			this.clock.advance(1_000);
			this.host.statements.record(this.target, TargetStatement.limitedTo(2));
			this.host.statements.receive(
					new TargetStatementReport(this.target, new TargetStatement(TargetStatement.UNLIMITED, true), 500));
			assertThat(this.host.statements.of(this.target)).isEqualTo(new TargetStatement(2, true));
		}

	}

	/**
	 * Guards against a target that is never asked again after it has named a limit of 0.
	 */
	@Nested
	class LimitOfZero {

		@Test
		void stillLetsARequestThroughNowAndThen() {
			ManualClock clock = new ManualClock();
			SimulatedHost host = new SimulatedHost("a1", "a", Map.of("a", "r"), List.of(listing("i-1", "a")), clock);
			host.share.assign(true, Set.of("a1"), Set.of("a1"));
			clock.advance(DomainLimitShare.ASSIGNMENT_DELAY_MS);
			host.statements.record(listing("i-1", "a").incarnation(), TargetStatement.limitedTo(0));
			assertThat(host.trySend("i-1")).isFalse();
			clock.advance((long) (TRAFFIC_HOSTS * 1_000 / StatementPermits.MIN_REQUESTS_PER_SECOND));
			assertThat(host.trySend("i-1")).isTrue();
			assertThat(host.trySend("i-1")).isFalse();
		}

	}

	/**
	 * Guards against limits that no host, or more than the hosts of two domains, may use.
	 */
	@Nested
	class Shares {

		@Test
		void addUpToTheWholeLimit() {
			Map<String, String> regions = Map.of("a", "r", "b", "r", "c", "s", "d", "s");
			ManualClock clock = new ManualClock();
			for (int target = 0; target < 20; target++) {
				double sum = 0;
				int senders = 0;
				for (String domain : regions.keySet()) {
					DomainLimitShare share = new DomainLimitShare(new HostLocation(domain, regions), TRAFFIC_HOSTS,
							clock);
					share.assign(true, Set.of("x"), Set.of("x"));
					clock.advance(DomainLimitShare.ASSIGNMENT_DELAY_MS);
					double fraction = share.of(listing("i-" + target, "b"));
					sum += TRAFFIC_HOSTS * fraction;
					senders += (fraction > 0) ? TRAFFIC_HOSTS : 0;
				}
				assertThat(sum).isEqualTo(1);
				assertThat(senders).isEqualTo(2 * TRAFFIC_HOSTS);
			}
		}

	}

	/**
	 * Guards against a sum over the hosts that exceeds the limit while hosts join, stop,
	 * restart or are cut off from each other, and heartbeats are lost or late.
	 */
	@Group
	class Fleet {

		@Property(tries = 400, seed = "34")
		void sendsAtMostTheLimitAndItsMargin(@ForAll long seed,
				@ForAll @DoubleRange(min = 0.1, max = 40) double limit) {
			SimulatedFleet fleet = new SimulatedFleet(seed, limit);
			fleet.run();
			assertThat(fleet.mostSentInAWindow()).isLessThanOrEqualTo((int) (1.5 * limit * 4 + 5));
		}

	}

	private static final class SimulatedHost {

		private final TargetRegistry registry;

		private final TargetStatements statements;

		private final DomainLimitShare share;

		private final StatementPermits permits;

		private final String name;

		private final String domain;

		private final long startedMs;

		private final Map<String, Long> heardMs = new HashMap<>();

		private final Map<String, Boolean> accepting = new HashMap<>();

		private long stopsAtMs = Long.MAX_VALUE;

		/** Hosts of different partitions do not hear each other. */
		private int partition;

		private long knowsSinceMs = Long.MAX_VALUE;

		private SimulatedHost(String name, String domain, Map<String, String> regions, List<TargetListing> targets,
				ManualClock clock) {
			this.name = name;
			this.domain = domain;
			this.startedMs = clock.millis();
			this.registry = new TargetRegistry(clock);
			this.registry.replace(targets);
			this.statements = new TargetStatements(clock, (target, statement, source) -> {
				if (this.knowsSinceMs == Long.MAX_VALUE) {
					this.knowsSinceMs = clock.millis();
				}
			});
			this.share = new DomainLimitShare(new HostLocation(domain, regions), TRAFFIC_HOSTS, clock);
			this.permits = new StatementPermits(this.registry, this.statements, this.share, clock);
		}

		private boolean trySend(String id) {
			ObservedTarget target = this.registry.target(id);
			assertThat(target).isNotNull();
			boolean available = this.permits.available(target);
			boolean taken = this.permits.tryTake(target);
			assertThat(taken).as("taken as announced").isEqualTo(available);
			return taken;
		}

	}

	/**
	 * Hosts of a few failure domains whose callers all press on one limited target. Each
	 * step lasts {@link #STEP_MS}.
	 */
	private static final class SimulatedFleet {

		private static final long STEP_MS = 50;

		private static final long DURATION_MS = 40_000;

		private static final long HEARTBEAT_MS = 500;

		private static final long HEARTBEAT_TIMEOUT_MS = 1_600;

		private static final long STOP_MS = 2_800;

		private static final long LOST_HOST_MS = 30_000;

		private static final Map<String, String> REGIONS = Map.of("a", "r", "b", "r", "c", "s");

		private static final TargetListing TARGET = listing("i-1", "a");

		private final ManualClock clock = new ManualClock();

		private final Random random;

		private final double limit;

		private final Map<String, SimulatedHost> hosts = new TreeMap<>();

		private final List<Long> sentMs = new ArrayList<>();

		private final int hostsPerDomain;

		private final int stepsPerDisturbance;

		private long limitedSinceMs = Long.MAX_VALUE;

		private SimulatedFleet(long seed, double limit) {
			this.random = new Random(seed);
			this.limit = limit;
			this.hostsPerDomain = 2 + this.random.nextInt(7);
			this.stepsPerDisturbance = 10 + this.random.nextInt(60);
			for (String domain : REGIONS.keySet()) {
				for (int number = 0; number < this.hostsPerDomain; number++) {
					start(domain + number, domain);
				}
			}
		}

		private void start(String name, String domain) {
			this.hosts.put(name, new SimulatedHost(name, domain, REGIONS, List.of(TARGET), this.clock));
		}

		private void run() {
			while (this.clock.millis() < DURATION_MS) {
				this.clock.advance(STEP_MS);
				disturb();
				this.hosts.values().forEach(this::assign);
				if (this.clock.millis() % HEARTBEAT_MS == 0) {
					sendHeartbeats();
				}
				if (this.clock.millis() >= 5_000) {
					this.hosts.values().forEach(this::callTarget);
				}
			}
		}

		private void disturb() {
			for (SimulatedHost host : List.copyOf(this.hosts.values())) {
				if (host.stopsAtMs != Long.MAX_VALUE && this.clock.millis() >= host.stopsAtMs + 1_000) {
					start(host.name, host.domain);
				}
			}
			if (this.random.nextInt(this.stepsPerDisturbance) > 0) {
				return;
			}
			double share = this.random.nextBoolean() ? 1.0 / this.hosts.size() : this.random.nextDouble();
			int disturbance = this.random.nextInt(4);
			for (SimulatedHost host : this.hosts.values()) {
				if (this.random.nextDouble() < share) {
					disturb(host, disturbance);
				}
			}
		}

		private void disturb(SimulatedHost host, int disturbance) {
			long nowMs = this.clock.millis();
			if (disturbance < 2) {
				long stopsAtMs = (disturbance == 0) ? nowMs + STOP_MS : nowMs;
				host.stopsAtMs = Math.min(host.stopsAtMs, stopsAtMs);
			}
			else {
				host.partition = (disturbance == 2) ? this.random.nextInt(4) : 0;
			}
		}

		private boolean running(SimulatedHost host) {
			return this.clock.millis() < host.stopsAtMs;
		}

		private boolean accepting(SimulatedHost host) {
			return host.stopsAtMs == Long.MAX_VALUE;
		}

		private void sendHeartbeats() {
			for (SimulatedHost sender : this.hosts.values()) {
				for (SimulatedHost receiver : this.hosts.values()) {
					boolean lost = sender == receiver || sender.partition != receiver.partition || !running(sender)
							|| !running(receiver) || this.random.nextInt(20) == 0;
					if (lost) {
						continue;
					}
					sender.statements.reports().forEach(receiver.statements::receive);
					if (sender.domain.equals(receiver.domain)) {
						receiver.heardMs.put(sender.name, this.clock.millis());
						receiver.accepting.put(sender.name, accepting(sender));
					}
				}
			}
		}

		// Does what the gossip task does with what this host has heard.
		private void assign(SimulatedHost host) {
			long nowMs = this.clock.millis();
			List<String> live = new ArrayList<>(host.heardMs.entrySet()
				.stream()
				.filter((heard) -> nowMs - heard.getValue() < HEARTBEAT_TIMEOUT_MS)
				.map(Map.Entry::getKey)
				.toList());
			List<String> accepting = new ArrayList<>(live.stream().filter(host.accepting::get).toList());
			live.add(host.name);
			if (accepting(host)) {
				accepting.add(host.name);
			}
			int position = accepting.stream().sorted().toList().indexOf(host.name);
			Set<String> known = new HashSet<>();
			for (SimulatedHost other : this.hosts.values()) {
				long silenceMs = nowMs - host.heardMs.getOrDefault(other.name, Long.MIN_VALUE / 2);
				boolean lost = Math.min(silenceMs, nowMs - host.startedMs) >= LOST_HOST_MS;
				if (other.domain.equals(host.domain) && (other == host || !lost)) {
					known.add(other.name);
				}
			}
			host.share.assign(position >= 0 && position < TRAFFIC_HOSTS, live, known);
		}

		private void callTarget(SimulatedHost host) {
			if (!running(host)) {
				return;
			}
			boolean knew = this.clock.millis() > host.knowsSinceMs;
			if (host.trySend(TARGET.id())) {
				if (knew) {
					this.sentMs.add(this.clock.millis());
				}
				this.limitedSinceMs = Math.min(this.limitedSinceMs, this.clock.millis());
				host.statements.record(TARGET.incarnation(), TargetStatement.limitedTo(this.limit));
			}
		}

		private int mostSentInAWindow() {
			long fromMs = this.limitedSinceMs + 4_000;
			return this.sentMs.stream()
				.filter((start) -> start >= fromMs)
				.mapToInt(
						(start) -> (int) this.sentMs.stream().filter((ms) -> ms >= start && ms < start + 4_000).count())
				.max()
				.orElse(0);
		}

	}

}
