package org.plantainspur.standins.gateway;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against targets that answer twice or break off answers, beside targets that fail
 * a part of their requests: failures reached callers as successes. The system properties
 * {@code soak.seed}, {@code soak.seconds}, {@code soak.hosts} and {@code soak.logs} set
 * the seed, the duration, the number of host processes and the directory that keeps the
 * hosts' logs.
 */
class DuplicatingTargetsTests {

	private static final int TARGETS = 10;

	private static final int CALLERS_PER_HOST = 16;

	private static final String[] FAILURE_DOMAINS = { "a", "b", "c", "d" };

	private static final String REGIONS = "zones.a=r\nzones.b=r\nzones.c=q\nzones.d=q";

	private final long seed = Long.getLong("soak.seed", 1);

	private final int seconds = Integer.getInteger("soak.seconds", 15);

	private final int hostCount = Integer.getInteger("soak.hosts", 2);

	private final SoakRecord record = new SoakRecord();

	private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4);

	private final List<GatewayFixture.HostProcess> hosts = new ArrayList<>();

	private GatewayFixture fixture;

	@BeforeEach
	void open() throws IOException {
		this.fixture = new GatewayFixture();
		this.fixture.writeDesiredStateWithoutRateLimit();
		Random random = new Random(this.seed);
		for (int i = 0; i < TARGETS; i++) {
			// Six of ten targets answer twice, up to 5 in 100 times, and half of them
			// fail.
			double copies = (i % 5 < 3) ? 0.05 : 0;
			double failures = (i % 2 == 0) ? 0.4 * random.nextDouble() : 0.01;
			DuplicatingTarget.Rates rates = new DuplicatingTarget.Rates(failures, 0.05, copies, 0.01);
			this.fixture.startRawTarget("i-" + i, domain(i),
					new DuplicatingTarget("i-" + i, this.seed, rates, this.record, this.timer));
		}
		for (int i = 0; i < this.hostCount; i++) {
			this.hosts.add(this.fixture.startReadyHostProcess("h" + i, domain(i), REGIONS));
		}
	}

	@AfterEach
	void close() throws Exception {
		this.timer.shutdownNow();
		this.fixture.close();
	}

	private static String domain(int index) {
		return FAILURE_DOMAINS[index % FAILURE_DOMAINS.length];
	}

	private void runCallers() throws InterruptedException {
		AtomicBoolean ended = new AtomicBoolean();
		List<Thread> callers = new ArrayList<>();
		for (int i = 0; i < this.hostCount * CALLERS_PER_HOST; i++) {
			Thread caller = new Thread(new KeepAliveCaller("c" + i, this.hosts.get(i % this.hostCount),
					this.seed * 1_000_003 + i, this.record, ended::get), "caller");
			caller.start();
			callers.add(caller);
		}
		GatewayFixture.sleep(this.seconds * 1_000L);
		ended.set(true);
		for (Thread caller : callers) {
			caller.join();
		}
	}

	// Adds the lines of the hosts' logs that name the request of each finding.
	private List<String> findingsWithLogLines() throws IOException {
		List<String> findings = new ArrayList<>();
		Pattern id = Pattern.compile("c\\d+-[0-9a-f]{8}-\\d+");
		for (String finding : this.record.findings()) {
			StringBuilder text = new StringBuilder(finding);
			List<String> ids = new ArrayList<>();
			Matcher matcher = id.matcher(finding);
			while (matcher.find()) {
				ids.add(matcher.group());
			}
			for (GatewayFixture.HostProcess host : this.hosts) {
				for (String line : Files.readAllLines(host.log())) {
					if (ids.stream().anyMatch(line::contains)) {
						text.append("\n  ").append(line);
					}
				}
			}
			findings.add(text.toString());
		}
		return findings;
	}

	private void keepLogs() throws IOException {
		String directory = System.getProperty("soak.logs", "");
		for (int i = 0; i < this.hostCount && !directory.isEmpty(); i++) {
			Path log = Path.of(directory, "seed-" + this.seed + "-h" + i + ".log");
			Files.createDirectories(log.getParent());
			Files.copy(this.hosts.get(i).log(), log);
		}
	}

	@Nested
	class UnderLoad {

		@Test
		void noCallerReceivesAnAnswerThatTheTargetDidNotMean() throws Exception {
			DuplicatingTargetsTests test = DuplicatingTargetsTests.this;
			test.runCallers();
			System.out.println("seed " + test.seed + ", " + test.hostCount + " hosts: " + test.record);
			test.keepLogs();
			assertThat(test.findingsWithLogLines()).as("findings with seed %d in %s", test.seed, test.record).isEmpty();
			assertThat(test.hosts).allMatch((host) -> host.process().isAlive());
			for (SecondCopy.Moment moment : SecondCopy.Moment.values()) {
				assertThat(test.record.countOf("broken off copy " + moment + " in one write")).as("copies %s", moment)
					.isPositive();
			}
			int reused = test.record.countOf("on a used connection");
			assertThat(reused).as("requests on used connections to targets").isGreaterThan(test.record.requests() / 4);
		}

	}

}
