package org.plantainspur.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.health.HealthView;
import org.plantainspur.core.health.OutcomeRecorder;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.time.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests to targets that are ejected, leaving or full, and against
 * requests to the other region while the local one has capacity.
 */
class WeightedTwoChoiceChooserTests {

	private final ManualClock clock = new ManualClock().advance(10_000);

	private final HealthView health = new HealthView(this.clock);

	private final AdaptiveLimits limits = new AdaptiveLimits(this.clock);

	private final AtomicReference<TargetDirectory> directory = new AtomicReference<>(TargetDirectory.empty());

	private final List<String> leaving = new ArrayList<>();

	private final TargetChooser chooser = WeightedTwoChoiceChooser.builder("pdx", this.clock)
		.directory(this.directory)
		.view(new ConfigurationView())
		.health(this.health)
		.limits(this.limits)
		.observedLeaving(this.leaving::contains)
		.random(new Random(20261204)::nextDouble)
		.build();

	private static Target target(String id, String region, int connections) {
		return new Target(id, "booking", "127.0.0.1:9", region, region + "-a", 4, connections, false);
	}

	private void targets(Target... targets) {
		this.directory.set(TargetDirectory.of(List.of(targets)));
	}

	private void verdicts(PeerMessage.Verdict... verdicts) {
		this.health.apply(this.health.beginReport("booking", "p0"),
				new PeerMessage.Verdicts("booking", List.of(verdicts), 2500, false, List.of()));
	}

	private Map<String, Integer> choices(int count) {
		Map<String, Integer> choices = new HashMap<>();
		for (int i = 0; i < count; i++) {
			try (TargetChooser.TargetLease lease = this.chooser.choose("booking", Set.of())) {
				choices.merge((lease != null) ? lease.target().id() : "none", 1, Integer::sum);
			}
		}
		return choices;
	}

	@Nested
	class Health {

		@Test
		void anEjectedTargetGetsNoRequest() {
			targets(target("a", "pdx", 400), target("b", "pdx", 400), target("c", "pdx", 400), target("d", "pdx", 400));
			verdicts(new PeerMessage.Verdict("a", true, 0.1, 0, 30, ""));
			assertThat(choices(500)).doesNotContainKey("a").hasSize(3);
		}

		@Test
		void ejectionOfAllTargetsKeepsTheCapacityFloor() {
			targets(target("a", "pdx", 400), target("b", "pdx", 400));
			verdicts(new PeerMessage.Verdict("a", true, 0.1, 0, 30, ""),
					new PeerMessage.Verdict("b", true, 0.1, 0, 40, ""));
			assertThat(choices(500)).containsOnlyKeys("a", "b");
		}

		@Test
		void aTargetInSlowStartGetsFewRequests() {
			targets(target("a", "pdx", 400), target("b", "pdx", 400));
			verdicts(new PeerMessage.Verdict("a", false, 0.1, 0, 0, ""));
			assertThat(choices(2000).get("a")).isBetween(100, 270);
		}

		@Test
		void aLeavingTargetGetsNoRequest() {
			targets(target("a", "pdx", 400), target("b", "pdx", 400));
			WeightedTwoChoiceChooserTests.this.leaving.add("a");
			assertThat(choices(200)).containsOnlyKeys("b");
		}

	}

	@Nested
	class Regions {

		@Test
		void theLocalOneIsPreferred() {
			targets(target("near", "pdx", 400), target("far", "sea", 400));
			assertThat(choices(200)).containsOnlyKeys("near");
		}

		@Test
		void theOtherOneIsUsedIfTheLocalOneIsFull() {
			targets(target("near", "pdx", 400), target("far", "sea", 400));
			verdicts(new PeerMessage.Verdict("near", false, 1, 8, 0, ""));
			assertThat(choices(200)).containsOnlyKeys("far");
		}

		@Test
		void theLocalOneIsUsedIfBothAreFull() {
			targets(target("near", "pdx", 400), target("far", "sea", 400));
			verdicts(new PeerMessage.Verdict("near", false, 1, 8, 0, ""),
					new PeerMessage.Verdict("far", false, 1, 8, 0, ""));
			assertThat(choices(200)).containsOnlyKeys("near");
		}

	}

	@Nested
	class Limits {

		@Test
		void boundTheConnectionsToATarget() {
			targets(target("a", "pdx", 3));
			for (int i = 0; i < 3; i++) {
				assertThat(WeightedTwoChoiceChooserTests.this.chooser.choose("booking", Set.of())).isNotNull();
			}
			assertThat(WeightedTwoChoiceChooserTests.this.chooser.choose("booking", Set.of())).isNull();
		}

		@Test
		void decreaseWhenTheTargetShedsLoadAndIncreaseWhenItAnswers() {
			targets(target("a", "pdx", 400));
			for (int i = 0; i < 10; i++) {
				WeightedTwoChoiceChooserTests.this.chooser.choose("booking", Set.of());
			}
			outcome(OutcomeRecorder.Kind.SHED);
			outcome(OutcomeRecorder.Kind.SHED);
			assertThat(WeightedTwoChoiceChooserTests.this.limits.hasCapacity("a", 400)).isFalse();
			assertThat(WeightedTwoChoiceChooserTests.this.limits.shedding("a")).isTrue();
			for (int i = 0; i < 60; i++) {
				outcome(OutcomeRecorder.Kind.SUCCESS);
			}
			assertThat(WeightedTwoChoiceChooserTests.this.limits.hasCapacity("a", 400)).isTrue();
		}

		private void outcome(OutcomeRecorder.Kind kind) {
			WeightedTwoChoiceChooserTests.this.limits
				.record(new OutcomeRecorder.Outcome(target("a", "pdx", 400), "large", "f", kind, 10));
		}

		@Test
		void countALeaseClosedTwiceOnlyOnce() {
			targets(target("a", "pdx", 400));
			TargetChooser.TargetLease first = WeightedTwoChoiceChooserTests.this.chooser.choose("booking", Set.of());
			WeightedTwoChoiceChooserTests.this.chooser.choose("booking", Set.of());
			first.close();
			first.close();
			assertThat(WeightedTwoChoiceChooserTests.this.limits.inFlight("a")).isEqualTo(1);
		}

	}

}
