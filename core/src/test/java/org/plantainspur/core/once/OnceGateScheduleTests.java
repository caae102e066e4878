package org.plantainspur.core.once;

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
 * Guards against a schedule of resends, restarts and expiry that runs a request twice, or
 * that is told "not run" about a request that runs.
 */
class OnceGateScheduleTests {

	@Group
	class Schedules {

		@Property(seed = "20261204", tries = 400)
		void atMostOneRunAndTrueRefusals(@ForAll long scheduleSeed) {
			Fleet fleet = new Fleet(new Random(scheduleSeed));
			for (int step = 0; step < 400; step++) {
				fleet.step();
			}
		}

	}

	/**
	 * Three hosts with clocks of different origins, whose processes are replaced, and
	 * callers that send every key again and again to any host.
	 */
	private static final class Fleet {

		private static final int HOSTS = 3;

		private final Random random;

		private final ManualClock[] clocks = new ManualClock[HOSTS];

		private final ProcessOnceGate[] gates = new ProcessOnceGate[HOSTS];

		private final String[] processes = new String[HOSTS];

		private final List<String> keys = new ArrayList<>();

		private final Set<String> begun = new HashSet<>();

		private final Map<OnceGate.Ticket, String> open = new HashMap<>();

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
			this.gates[host] = ProcessOnceGate.builder("host-" + host, this.processes[host])
				.clock(this.clocks[host])
				.maximumRecords(40)
				.answerBytes(64)
				.build();
		}

		void step() {
			int choice = this.random.nextInt(100);
			if (choice < 10 || this.keys.isEmpty()) {
				this.keys.add(this.gates[this.random.nextInt(HOSTS)].mint("a") + "." + this.keys.size());
			}
			else if (choice < 70) {
				send(this.random.nextInt(HOSTS), this.keys.get(this.random.nextInt(this.keys.size())));
			}
			else if (choice < 85) {
				finish();
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
			OnceGate.OnceDecision decision = this.gates[host].enter("a", key, "f");
			if (decision instanceof OnceGate.OnceDecision.Relay relay) {
				int owner = Integer.parseInt(relay.hostId().substring("host-".length()));
				if (!relay.processId().equals(this.processes[owner])) {
					return;
				}
				decision = this.gates[owner].enter("a", key, "f");
			}
			if (decision instanceof OnceGate.OnceDecision.Dispatch dispatch) {
				assertThat(this.begun.add(key)).as("first run of " + key).isTrue();
				this.open.put(dispatch.ticket(), key);
			}
			else if (decision instanceof OnceGate.OnceDecision.Refuse refuse) {
				checkRefusal(key, refuse.refusal().problem());
			}
			else if (decision instanceof OnceGate.OnceDecision.Join join && join.answer().isDone()
					&& join.answer().join() instanceof CallerAnswer.Refused refused) {
				checkRefusal(key, refused.problem());
			}
		}

		private void checkRefusal(String key, Problem problem) {
			if (problem.run() == Problem.Run.NOT_RUN) {
				assertThat(this.begun).as("requests that ran, although refused with " + problem).doesNotContain(key);
			}
		}

		private void finish() {
			if (this.open.isEmpty()) {
				return;
			}
			List<OnceGate.Ticket> tickets = new ArrayList<>(this.open.keySet());
			OnceGate.Ticket ticket = tickets.get(this.random.nextInt(tickets.size()));
			String key = this.open.remove(ticket);
			switch (this.random.nextInt(3)) {
				case 0 -> ticket.answered(new CallerAnswer.Answered(200, Headers.empty(), new byte[20]));
				case 1 -> ticket.answered(Problem.unknown(Problem.Code.TARGET_TIMEOUT, "no answer").refuse());
				default -> {
					this.begun.remove(key);
					ticket.notRun(Problem.notRun(Problem.Code.NO_CAPACITY, "no capacity").refuse());
				}
			}
		}

	}

}
