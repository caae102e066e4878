package org.plantainspur.core.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.desired.AccountRule;
import org.plantainspur.core.desired.DesiredState;
import org.plantainspur.core.time.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

class EstimatingAccountLimiterTests {

	private static final AccountRule ACCOUNT = new AccountRule("mill", 1, 30, 30);

	private final ManualClock clock = new ManualClock();

	private final DesiredState state = DesiredState.builder(1).account(ACCOUNT, List.of("key")).build();

	private final List<Host> hosts = new ArrayList<>();

	private Host host() {
		UsageMeter meter = new UsageMeter();
		Host host = new Host("h" + this.hosts.size(), meter, new EstimatingAccountLimiter(this.clock, meter, 12));
		this.hosts.add(host);
		return host;
	}

	// All hosts report their usage to each other, as heartbeats do.
	private void exchangeReports(long elapsedMs) {
		exchangeReports(elapsedMs, true);
	}

	private void exchangeReports(long elapsedMs, boolean delivered) {
		this.hosts.forEach((host) -> host.limiter().retainSources(this.state, (source) -> true));
		for (Host from : this.hosts) {
			Map<String, AccountUsage> usage = from.meter().takeReport(elapsedMs);
			for (Host to : this.hosts) {
				if (to != from && delivered) {
					to.limiter().recordRemoteUsage(this.state, from.name(), usage);
				}
			}
		}
	}

	private boolean isReportUrgent() {
		return this.hosts.stream().anyMatch((one) -> one.meter().isReportUrgent());
	}

	// Each host gets the same number of requests in each step of 100 ms.
	private int sendRequests(int seconds, double ratePerSecond) {
		int admitted = 0;
		double pendingRequests = 0;
		for (int step = 0; step < seconds * 10; step++) {
			this.clock.advance(100);
			pendingRequests += ratePerSecond / 10;
			int host = 0;
			while (pendingRequests >= 1) {
				pendingRequests--;
				admitted += this.hosts.get(host++ % this.hosts.size()).limiter().tryAcquire(ACCOUNT) ? 1 : 0;
			}
			if (isReportUrgent() || step % 5 == 4) {
				exchangeReports(isReportUrgent() ? 100 : 500);
			}
		}
		return admitted;
	}

	/**
	 * Guards against refusals below an account's limit because its requests spread over
	 * many hosts, and against a multiple of its rate when each host admits requests on
	 * its own.
	 */
	@Nested
	class ManyHosts {

		@Test
		void nothingIsRefusedBelowTheLimitOnceHostsExchangeReports() {
			for (int i = 0; i < 12; i++) {
				host();
			}
			EstimatingAccountLimiterTests.this.clock.advance(EstimatingAccountLimiter.INITIAL_SHARE_MS);
			exchangeReports(500);
			assertThat(sendRequests(20, 20)).isEqualTo(400);
		}

		@Test
		void anAccountFarOverItsRateGetsItsRateAndBurst() {
			for (int i = 0; i < 12; i++) {
				host();
			}
			sendRequests(3, 19);
			// The deployment allows (rate x window + burst) x 1.1 + 20 requests.
			assertThat(sendRequests(5, 30 * 7)).isLessThanOrEqualTo((int) ((30 * 5 + 30) * 1.1 + 20));
			assertThat(sendRequests(5, 30 * 7)).isLessThanOrEqualTo((int) ((30 * 5 + 30) * 1.1 + 20))
				.isGreaterThanOrEqualTo(30 * 5 * 8 / 10);
		}

		@Test
		void anAccountAtTwiceItsRateIsServedEvenly() {
			for (int i = 0; i < 12; i++) {
				host();
			}
			sendRequests(6, 19);
			sendRequests(2, 60);
			for (int second = 0; second < 10; second++) {
				assertThat(sendRequests(1, 60)).as("in second " + second + ", of a rate of 30").isBetween(15, 45);
			}
		}

		@Test
		void hostsThatStartTogetherShareOneBurst() {
			for (int i = 0; i < 12; i++) {
				host();
			}
			int admitted = 0;
			for (int step = 0; step < 50; step++) {
				EstimatingAccountLimiterTests.this.clock.advance(100);
				for (Host one : EstimatingAccountLimiterTests.this.hosts) {
					admitted += one.limiter().tryAcquire(ACCOUNT) ? 1 : 0;
					admitted += one.limiter().tryAcquire(ACCOUNT) ? 1 : 0;
				}
				// The first reports arrive after one and a half seconds.
				if (isReportUrgent() || step % 5 == 4) {
					exchangeReports(isReportUrgent() ? 100 : 500, step >= 15);
				}
			}
			assertThat(admitted).isLessThanOrEqualTo((int) ((30 * 5 + 30) * 1.1 + 20));
		}

		@Test
		void anIsolatedHostKeepsTheLastReportedRemoteRates() {
			Host isolated = host();
			host();
			sendRequests(10, 60);
			int admitted = 0;
			for (int i = 0; i < 100; i++) {
				EstimatingAccountLimiterTests.this.clock.advance(50);
				admitted += isolated.limiter().tryAcquire(ACCOUNT) ? 1 : 0;
			}
			assertThat(admitted).as("admitted in 5 s, of 150 that both hosts together may admit")
				.isLessThanOrEqualTo(100);
		}

	}

	/** Guards against limits that do not follow a changed rule or an ended host. */
	@Nested
	class Changes {

		@Test
		void aLowerLimitAppliesImmediately() {
			Host one = host();
			sendRequests(3, 20);
			AccountRule lower = new AccountRule("mill", 1, 2, 2);
			int admitted = 0;
			for (int i = 0; i < 50; i++) {
				EstimatingAccountLimiterTests.this.clock.advance(100);
				admitted += one.limiter().tryAcquire(lower) ? 1 : 0;
			}
			assertThat(admitted).isLessThanOrEqualTo(12);
		}

		@Test
		void theRateOfAnEndedHostIsAvailableToTheOthers() {
			Host one = host();
			Host ended = host();
			sendRequests(10, 60);
			EstimatingAccountLimiterTests.this.hosts.remove(ended);
			one.limiter().retainSources(EstimatingAccountLimiterTests.this.state, (source) -> false);
			sendRequests(3, 60);
			assertThat(sendRequests(5, 60)).isGreaterThanOrEqualTo(140);
		}

		@Test
		void anAccountWithoutARateIsNotLimited() {
			AccountRule unlimited = new AccountRule("open", 1, 0, 0);
			Host one = host();
			for (int i = 0; i < 1_000; i++) {
				assertThat(one.limiter().tryAcquire(unlimited)).isTrue();
			}
		}

	}

	private record Host(String name, UsageMeter meter, EstimatingAccountLimiter limiter) {
	}

}
