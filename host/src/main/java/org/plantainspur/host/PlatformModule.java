package org.plantainspur.host;

import java.util.concurrent.atomic.AtomicReference;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import com.google.inject.TypeLiteral;

import org.plantainspur.adapters.platform.ObjectSnapshotStore;
import org.plantainspur.adapters.platform.PlatformClient;
import org.plantainspur.adapters.platform.TableChangeLog;
import org.plantainspur.adapters.platform.TargetListReader;
import org.plantainspur.core.configuration.ChangeLog;
import org.plantainspur.core.configuration.ConfigurationFollower;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.configuration.SnapshotStore;
import org.plantainspur.core.membership.HostAssignment;
import org.plantainspur.core.membership.RendezvousHostAssignment;
import org.plantainspur.core.routing.TargetDirectory;
import org.plantainspur.core.time.Clock;

/**
 * Binds what this host reads from the platform: the configuration with the membership,
 * and the list of targets.
 */
final class PlatformModule extends AbstractModule {

	@Override
	protected void configure() {
		bind(ConfigurationView.class).toInstance(new ConfigurationView());
		bind(HostAssignment.class).toInstance(new RendezvousHostAssignment());
		bind(new TypeLiteral<AtomicReference<TargetDirectory>>() {
		}).toInstance(new AtomicReference<>(TargetDirectory.empty()));
	}

	@Provides
	@Singleton
	PlatformClient platformClient(HostSettings settings) {
		return new PlatformClient(settings.platformUrl(), settings.platformTimeoutMillis());
	}

	@Provides
	@Singleton
	ChangeLog changeLog(PlatformClient client) {
		return new TableChangeLog(client);
	}

	@Provides
	@Singleton
	TargetSource targetSource(PlatformClient client) {
		return new TargetListReader(client)::read;
	}

	@Provides
	@Singleton
	SnapshotStore snapshotStore(PlatformClient client) {
		return new ObjectSnapshotStore(client);
	}

	@Provides
	@Singleton
	ConfigurationFollower configurationFollower(ChangeLog log, ConfigurationView view, SnapshotStore snapshots,
			Clock clock) {
		return new ConfigurationFollower(log, view, snapshots, clock);
	}

}
