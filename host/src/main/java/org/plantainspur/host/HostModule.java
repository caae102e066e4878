package org.plantainspur.host;

import java.util.HexFormat;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicReference;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;

import org.plantainspur.adapters.http.HttpClientTargetDispatcher;
import org.plantainspur.adapters.platform.PlatformClient;
import org.plantainspur.adapters.platform.TableChangeLog;
import org.plantainspur.adapters.platform.TargetListReader;
import org.plantainspur.core.configuration.ChangeLog;
import org.plantainspur.core.configuration.ConfigurationFollower;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.configuration.SnapshotStore;
import org.plantainspur.core.currency.CurrencyRule;
import org.plantainspur.core.currency.FencingByAge;
import org.plantainspur.core.health.OutcomeRecorder;
import org.plantainspur.core.membership.HomeHosts;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.membership.RendezvousHomeHosts;
import org.plantainspur.core.once.OnceGate;
import org.plantainspur.core.once.ProcessOnceGate;
import org.plantainspur.core.rate.LocalRateLimiter;
import org.plantainspur.core.rate.RateLimiter;
import org.plantainspur.core.request.BudgetedRetryPolicy;
import org.plantainspur.core.request.Problem;
import org.plantainspur.core.request.RequestPipeline;
import org.plantainspur.core.request.StandardRequestPipeline;
import org.plantainspur.core.request.TargetDispatcher;
import org.plantainspur.core.routing.AdmissionQueue;
import org.plantainspur.core.routing.LeastInFlightChooser;
import org.plantainspur.core.routing.OpenAdmissionQueue;
import org.plantainspur.core.routing.Target;
import org.plantainspur.core.routing.TargetChooser;
import org.plantainspur.core.routing.TargetDirectory;
import org.plantainspur.core.time.Clock;

/**
 * Wires the decisions to their adapters.
 */
final class HostModule extends AbstractModule {

	private static final int CONNECTIONS_PER_TARGET = 9;

	private final HostSettings settings;

	private final AtomicReference<TargetDirectory> directory = new AtomicReference<>(TargetDirectory.empty());

	HostModule(HostSettings settings) {
		this.settings = settings;
	}

	@Override
	protected void configure() {
		bind(HostSettings.class).toInstance(this.settings);
		bind(Clock.class).toInstance(Clock.system());
		bind(ConfigurationView.class).toInstance(new ConfigurationView());
		bind(HomeHosts.class).toInstance(new RendezvousHomeHosts());
		bind(TargetDispatcher.class).toInstance(new HttpClientTargetDispatcher(CONNECTIONS_PER_TARGET));
		bind(Member.class).toInstance(Member
			.builder(this.settings.hostId(), HexFormat.of().toHexDigits(ThreadLocalRandom.current().nextLong()))
			.region(this.settings.region())
			.failureDomain(this.settings.failureDomain())
			.callerAddress(this.settings.callerAddress())
			.peerAddress(this.settings.peerAddress())
			.adminAddress(this.settings.adminAddress())
			.build());
	}

	@Provides
	@Singleton
	PlatformClient platformClient() {
		return new PlatformClient(this.settings.platformUrl(), this.settings.platformTimeoutMillis());
	}

	@Provides
	@Singleton
	ChangeLog changeLog(PlatformClient client) {
		return new TableChangeLog(client);
	}

	@Provides
	@Singleton
	ConfigurationFollower follower(ChangeLog log, ConfigurationView view, Clock clock) {
		return new ConfigurationFollower(log, view, SnapshotStore.none(), clock);
	}

	@Provides
	@Singleton
	BackgroundTasks backgroundTasks(ConfigurationFollower follower, ChangeLog log, ConfigurationView view,
			PlatformClient client, Member member) {
		return new BackgroundTasks(follower, log, view, new TargetListReader(client), this.directory, member,
				this.settings.pollIntervalMillis());
	}

	@Provides
	@Singleton
	CurrencyRule currencyRule(ConfigurationFollower follower) {
		return new FencingByAge(follower::readAgeMillis);
	}

	@Provides
	@Singleton
	OnceGate onceGate(Member member) {
		return new ProcessOnceGate(member.hostId(), member.processId());
	}

	@Provides
	@Singleton
	RateLimiter rateLimiter(Clock clock) {
		return new LocalRateLimiter(clock);
	}

	@Provides
	@Singleton
	AdmissionQueue admissionQueue() {
		return new OpenAdmissionQueue();
	}

	@Provides
	@Singleton
	TargetChooser targetChooser() {
		return new LeastInFlightChooser(this.directory);
	}

	@Provides
	@Singleton
	OutcomeRecorder outcomeRecorder() {
		return new OutcomeRecorder() {

			@Override
			public void record(Outcome outcome) {
			}

			@Override
			public void leaving(Target target) {
			}

		};
	}

	@Provides
	@Singleton
	RequestPipeline requestPipeline(Clock clock, ConfigurationView view, CurrencyRule currency, OnceGate onceGate,
			RateLimiter rateLimiter, AdmissionQueue admissionQueue, TargetChooser chooser, TargetDispatcher dispatcher,
			OutcomeRecorder recorder) {
		return StandardRequestPipeline.builder()
			.clock(clock)
			.view(view)
			.currency(currency)
			.onceGate(onceGate)
			.relay((hostId, processId, request, deadline) -> Problem
				.unknown(Problem.Code.OWNER_NOT_REACHABLE, "host " + hostId + " cannot be reached")
				.refuse())
			.rateLimiter(rateLimiter)
			.admissionQueue(admissionQueue)
			.chooser(chooser)
			.dispatcher(dispatcher)
			.retryPolicy(new BudgetedRetryPolicy())
			.recorder(recorder)
			.quarantine((fingerprint) -> false)
			.build();
	}

}
