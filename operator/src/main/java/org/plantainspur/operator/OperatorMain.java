package org.plantainspur.operator;

import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;

import org.plantainspur.adapters.platform.ObjectSnapshotStore;
import org.plantainspur.adapters.platform.PlatformClient;
import org.plantainspur.adapters.platform.TableChangeLog;
import org.plantainspur.core.configuration.ChangeLog;
import org.plantainspur.core.configuration.ChangeWriter;
import org.plantainspur.core.configuration.ConfigurationFollower;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.time.Clock;
import org.plantainspur.core.time.Pause;

/**
 * Starts the operators' command line.
 */
public final class OperatorMain {

	private static final long PLATFORM_TIMEOUT_MILLIS = 5000;

	private OperatorMain() {
	}

	/**
	 * Runs one command and ends the process with its exit code.
	 * @param args the command with its arguments, see {@code --help}
	 */
	public static void main(String[] args) {
		System.exit(new CommandLine(System.getenv(), OperatorMain::createRunner, System.out).run(args));
	}

	private static ChangeRunner createRunner(String platformUrl) {
		PlatformClient client = new PlatformClient(platformUrl, PLATFORM_TIMEOUT_MILLIS);
		ChangeLog log = new TableChangeLog(client);
		ConfigurationView view = new ConfigurationView();
		Clock clock = Clock.system();
		ConfigurationFollower follower = new ConfigurationFollower(log, view, new ObjectSnapshotStore(client), clock);
		ChangeWriter changeWriter = new ChangeWriter(log, () -> {
			follower.poll();
			return view.current();
		}, Pause.system(), ThreadLocalRandom.current());
		return new ChangeRunner(changeWriter, new HttpHostAdminClient(), clock, Pause.system(),
				() -> UUID.randomUUID().toString());
	}

}
