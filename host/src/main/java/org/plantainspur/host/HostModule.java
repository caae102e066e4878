package org.plantainspur.host;

import java.util.HexFormat;
import java.util.concurrent.ThreadLocalRandom;

import com.google.inject.AbstractModule;

import org.plantainspur.core.membership.Member;
import org.plantainspur.core.time.Clock;

/**
 * Binds the settings, the clock and the member that stands for this process, and installs
 * one module for each concern.
 */
final class HostModule extends AbstractModule {

	private final HostSettings settings;

	HostModule(HostSettings settings) {
		this.settings = settings;
	}

	@Override
	protected void configure() {
		bind(HostSettings.class).toInstance(this.settings);
		bind(Clock.class).toInstance(Clock.system());
		bind(Member.class).toInstance(self());
		install(new PlatformModule());
		install(new RequestModule());
		install(new FleetModule());
		install(new HealthModule());
		install(new PeerModule());
		install(new ShutdownModule());
		install(new StatusModule());
		install(new MetricsModule());
	}

	private Member self() {
		return Member
			.builder(this.settings.hostId(), HexFormat.of().toHexDigits(ThreadLocalRandom.current().nextLong()))
			.region(this.settings.region())
			.failureDomain(this.settings.failureDomain())
			.callerAddress(this.settings.callerAddress())
			.peerAddress(this.settings.peerAddress())
			.adminAddress(this.settings.adminAddress())
			.build();
	}

}
