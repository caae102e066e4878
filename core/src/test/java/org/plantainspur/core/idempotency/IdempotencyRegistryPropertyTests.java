package org.plantainspur.core.idempotency;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;

import org.plantainspur.core.request.CallerAnswer;
import org.plantainspur.core.request.Headers;
import org.plantainspur.core.request.Problem;
import org.plantainspur.core.time.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against sequences of repeats, restarts and expiry in which a request runs twice,
 * or is refused as "not run" although it has run.
 */
class IdempotencyRegistryPropertyTests {

	@Group
	class RandomSequences {

		@Property(seed = "20261204", tries = 400)
		void runEachRequestAtMostOnceAndReportNotRunTruthfully(@ForAll long sequenceSeed) {
			Fleet fleet = new Fleet(new Random(sequenceSeed));
			for (int step = 0; step < 400; step++) {
				fleet.step();
			}
		}

	}

	/**
	 * Three hosts with clocks of different origins, whose processes restart at random,
	 * and callers that send requests with the same keys repeatedly to any host.
	 */
	private static final class Fleet {

		private static final int HOSTS = 3;

		private final Random random;

		private final ManualClock[] clocks = new ManualClock[HOSTS];

		private final LocalIdempotencyRegistry[] registries = new LocalIdempotencyRegistry[HOSTS];

		private final String[] processes = new String[HOSTS];

		private final List<String> keys = new ArrayList<>();

		private final Set<String> started = new HashSet<>();

		private final Map<IdempotencyRegistry.OpenRecord, String> openRecords = new HashMap<>();

		private int restarts;

		Fleet(Random random) {
			this.random = random;
			for (int host = 0; host < HOSTS; host++) {
				this.clocks[host] = new ManualClock().advance(host * 31_000_000L);
				restart(host);
			}
		}

		private void restart(int host) {
			this.processes[host] = "p" + this.restarts++;
			this.registries[host] = LocalIdempotencyRegistry.builder("host-" + host, this.processes[host])
				.clock(this.clocks[host])
				.maximumRecords(40)
				.maximumAnswerBytes(64)
				.build();
		}

		void step() {
			int choice = this.random.nextInt(100);
			if (choice < 10 || this.keys.isEmpty()) {
				this.keys.add(this.registries[this.random.nextInt(HOSTS)].issueToken("a") + "." + this.keys.size());
			}
			else if (choice < 70) {
				send(this.random.nextInt(HOSTS), this.keys.get(this.random.nextInt(this.keys.size())));
			}
			else if (choice < 85) {
				closeRecord();
			}
			else if (choice < 98) {
				advance();
			}
			else {
				restart(this.random.nextInt(HOSTS));
			}
		}

		private void advance() {
			long millis = this.random.nextInt(this.random.nextBoolean() ? 1000 : 240_000);
			for (ManualClock clock : this.clocks) {
				clock.advance(millis);
			}
		}

		private void send(int host, String key) {
			IdempotencyRegistry.DispatchDecision decision = this.registries[host].register("a", key, "f");
			if (decision instanceof IdempotencyRegistry.DispatchDecision.Relay relay) {
				int owner = Integer.parseInt(relay.hostId().substring("host-".length()));
				if (!relay.processId().equals(this.processes[owner])) {
					return;
				}
				decision = this.registries[owner].register("a", key, "f");
			}
			if (decision instanceof IdempotencyRegistry.DispatchDecision.Dispatch dispatch) {
				assertThat(this.started.add(key)).as("first run of " + key).isTrue();
				this.openRecords.put(dispatch.openRecord(), key);
			}
			else if (decision instanceof IdempotencyRegistry.DispatchDecision.Refuse refuse) {
				assertNotStartedIfRefusedAsNotRun(key, refuse.refusal().problem());
			}
			else if (decision instanceof IdempotencyRegistry.DispatchDecision.Join join && join.answer().isDone()
					&& join.answer().join() instanceof CallerAnswer.Refused refused) {
				assertNotStartedIfRefusedAsNotRun(key, refused.problem());
			}
		}

		private void assertNotStartedIfRefusedAsNotRun(String key, Problem problem) {
			if (problem.run() == Problem.Run.NOT_RUN) {
				assertThat(this.started).as("requests that have run, one of which was refused with " + problem)
					.doesNotContain(key);
			}
		}

		private void closeRecord() {
			if (this.openRecords.isEmpty()) {
				return;
			}
			List<IdempotencyRegistry.OpenRecord> records = new ArrayList<>(this.openRecords.keySet());
			IdempotencyRegistry.OpenRecord record = records.get(this.random.nextInt(records.size()));
			String key = this.openRecords.remove(record);
			switch (this.random.nextInt(3)) {
				case 0 -> record.complete(new CallerAnswer.Answered(200, Headers.empty(), new byte[20]));
				case 1 -> record.complete(Problem.unknown(Problem.Code.TARGET_TIMEOUT, "no answer").toRefusal());
				default -> {
					this.started.remove(key);
					record.removeAsNotRun(Problem.notRun(Problem.Code.NO_CAPACITY, "no capacity").toRefusal());
				}
			}
		}

	}

}
