package org.plantainspur.host;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;

import com.google.inject.AbstractModule;
import com.google.inject.Inject;
import com.google.inject.Singleton;
import org.eclipse.jetty.server.Server;

import org.plantainspur.adapters.settings.SettingsReader;
import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.ChangeEntry;
import org.plantainspur.core.configuration.ChangeLog;
import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.configuration.Route;
import org.plantainspur.core.health.HealthView;
import org.plantainspur.core.rate.LocalRateLimiter;
import org.plantainspur.core.rate.RateLimiter;
import org.plantainspur.core.request.DispatchOutcome;
import org.plantainspur.core.request.Headers;
import org.plantainspur.core.request.KeyHash;
import org.plantainspur.core.request.TargetDispatcher;
import org.plantainspur.core.routing.Target;
import org.plantainspur.core.routing.TargetDirectory;
import org.plantainspur.core.testing.FreePorts;
import org.plantainspur.core.time.Clock;

/**
 * A complete host in the process of the test, with a change log in memory. The test
 * supplies the dispatcher that answers in place of the targets.
 */
final class RunningHost implements AutoCloseable {

	static final String KEY = "the-secret-key-of-harbor-clinic";

	final InMemoryChangeLog log = new InMemoryChangeLog();

	final int callerPort;

	final int adminPort;

	private final StartedHost started;

	RunningHost(TargetDispatcher dispatcher, String... flags) throws Exception {
		this(dispatcher, (host) -> {
		}, flags);
	}

	/**
	 * Starts a host.
	 * @param dispatcher answers in place of the targets
	 * @param whenServing called on the starting thread as soon as the server answers
	 * callers
	 * @param flags further settings
	 * @throws Exception if the host does not start
	 */
	RunningHost(TargetDispatcher dispatcher, Consumer<RunningHost> whenServing, String... flags) throws Exception {
		this.started = new StartedHost(() -> whenServing.accept(this));
		this.callerPort = freePort();
		this.adminPort = freePort();
		this.log.add(new Change.PutAccount(new ClientAccount("harbor-clinic", 1000, 1000)));
		this.log.add(new Change.IssueKey(KeyHash.of(KEY), "harbor-clinic"));
		this.log.add(new Change.PutRoute(new Route("read", "GET", "/booking", "booking", true, false, 5000)));
		this.log.add(new Change.PutRoute(new Route("write", "POST", "/booking", "booking", false, false, 5000)));
		this.log.add(new Change.PutRoute(new Route("upload", "PUT", "/booking", "booking", true, false, 5000)));
		this.log.add(new Change.PutRoute(new Route("offers", "POST", "/offers", "offers", true, false, 5000)));
		List<String> all = new ArrayList<>(List.of("--host-id", "entry-1", "--region", "pdx", "--failure-domain",
				"pdx-a", "--caller-address", "127.0.0.1:" + this.callerPort, "--admin-address",
				"127.0.0.1:" + this.adminPort, "--peer-address", "127.0.0.1:" + freePort(), "--platform-url",
				"http://127.0.0.1:1", "--platform-region", "pdx", "--fleet-secret", "a-fleet-secret-for-tests",
				"--poll-interval", "20"));
		all.addAll(List.of(flags));
		HostSettings settings = SettingsReader.of("plantainspur-host", HostSettings::new)
			.read(all.toArray(String[]::new), Map.of());
		new EntryHostApplication(settings, new TestBindings(this.log, this.started, dispatcher)).run("server");
		for (int i = 0; i < 200 && this.started.view.current().membership().size() == 0; i++) {
			Thread.sleep(20);
		}
	}

	static DispatchOutcome ok() {
		return new DispatchOutcome.Answered(200, Headers.empty(), "ok".getBytes(StandardCharsets.UTF_8));
	}

	private static int freePort() throws IOException {
		return FreePorts.next();
	}

	GracefulShutdown gracefulShutdown() {
		return this.started.gracefulShutdown;
	}

	ConfigurationView view() {
		return this.started.view;
	}

	HealthView health() {
		return this.started.health;
	}

	Socket connect() throws IOException {
		Socket socket = new Socket("127.0.0.1", this.callerPort);
		socket.setSoTimeout(10_000);
		return socket;
	}

	/**
	 * Sends a text on a new connection and reads until the host closes the connection.
	 * @param text the request, sent in ISO-8859-1
	 * @return everything that the host sent, decoded as ISO-8859-1
	 * @throws IOException if the connection fails
	 */
	String exchange(String text) throws IOException {
		try (Socket socket = connect()) {
			socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
			return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
		}
	}

	@Override
	public void close() throws Exception {
		this.started.server.stop();
	}

	private static final class TestBindings extends AbstractModule {

		private final InMemoryChangeLog log;

		private final StartedHost started;

		private final TargetDispatcher dispatcher;

		TestBindings(InMemoryChangeLog log, StartedHost started, TargetDispatcher dispatcher) {
			this.log = log;
			this.started = started;
			this.dispatcher = dispatcher;
		}

		@Override
		protected void configure() {
			bind(ChangeLog.class).toInstance(this.log);
			bind(TargetSource.class).toInstance(() -> TargetDirectory
				.of(List.of(new Target("booking-1", "booking", "127.0.0.1:1", "pdx", "pdx-a", 4, 400, false),
						new Target("offers-1", "offers", "127.0.0.1:1", "sea", "sea-a", 4, 400, false))));
			bind(TargetDispatcher.class).toInstance(this.dispatcher);
			// The shared limiter gives a new process no share in its first 3.5 s, so a
			// local one replaces it. Other tests check the shared limiter.
			bind(RateLimiter.class).toInstance(new LocalRateLimiter(Clock.system()));
			bind(GracefulShutdown.Durations.class).toInstance(new GracefulShutdown.Durations(300, 1000, 100));
			bind(ShutdownTrigger.class).toInstance(this.started);
			requestInjection(this.started);
		}

	}

	@Singleton
	private static final class StartedHost implements ShutdownTrigger {

		private final Runnable whenServing;

		private Server server;

		@Inject
		private GracefulShutdown gracefulShutdown;

		@Inject
		private ConfigurationView view;

		@Inject
		private HealthView health;

		StartedHost(Runnable whenServing) {
			this.whenServing = whenServing;
		}

		@Override
		public void register(Server startedServer) {
			this.server = startedServer;
			this.whenServing.run();
		}

	}

	/**
	 * A change log in memory, without a platform.
	 */
	static final class InMemoryChangeLog implements ChangeLog {

		private final List<ChangeEntry> entries = new ArrayList<>();

		synchronized void add(Change change) {
			append(head(), "setup-" + head(), change);
		}

		@Override
		public synchronized long head() {
			return this.entries.size();
		}

		@Override
		public synchronized List<ChangeEntry> read(long after) {
			return List.copyOf(this.entries.subList((int) after, this.entries.size()));
		}

		@Override
		public synchronized AppendResult append(long expectedHead, String changeId, Change change) {
			if (expectedHead != head()) {
				return new AppendResult.HeadMoved(head());
			}
			this.entries.add(new ChangeEntry(expectedHead + 1, changeId, change));
			return new AppendResult.Appended(expectedHead + 1);
		}

		@Override
		public synchronized OptionalLong find(String changeId) {
			return this.entries.stream()
				.filter((entry) -> entry.changeId().equals(changeId))
				.mapToLong(ChangeEntry::sequence)
				.findFirst();
		}

	}

}
