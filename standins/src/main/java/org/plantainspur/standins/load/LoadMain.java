package org.plantainspur.standins.load;

import java.util.List;

import com.fasterxml.jackson.databind.ObjectMapper;

import org.plantainspur.standins.program.Programs;

/**
 * The main class of the load tool, which sends requests and prints a report.
 */
public final class LoadMain {

	private LoadMain() {
	}

	/**
	 * Runs the load tool.
	 * @param args the flags, see {@code --help}
	 * @throws Exception if the tool fails
	 */
	public static void main(String[] args) throws Exception {
		Programs.run("load", args, LoadSettings::new, (settings) -> {
			LoadReport report = run(settings);
			System.out.println(settings.isJson() ? new ObjectMapper().writeValueAsString(report) : report.text());
		});
	}

	static LoadReport run(LoadSettings settings) throws InterruptedException {
		LoadPlan plan = new LoadPlan(settings);
		try (HttpSender sender = new HttpSender(settings.connections(), settings.timeoutMillis());
				DestinationSelector destinations = createDestinationSelector(settings, plan, sender)) {
			return new LoadRun(settings, plan, sender, destinations).run();
		}
	}

	private static DestinationSelector createDestinationSelector(LoadSettings settings, LoadPlan plan,
			HttpSender sender) {
		return settings.direct().isEmpty()
				? new LocatedHostSelector(List.of(settings.entries().split(",")), plan.accounts(), sender)
				: new DirectTargetSelector(List.of(settings.direct().split(",")));
	}

}
