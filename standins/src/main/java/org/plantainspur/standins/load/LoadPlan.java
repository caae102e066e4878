package org.plantainspur.standins.load;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.plantainspur.core.finding.Findings;

/**
 * Plans which requests are sent and when. The same seed gives the same requests. One
 * thread asks for the requests, in the order of their numbers.
 */
final class LoadPlan {

	private static final double PERCENT = 100;

	private static final double NANOS_PER_SECOND = 1_000_000_000;

	private final List<AccountShare> accounts;

	private final List<String> readPaths;

	private final List<String> writePaths;

	private final double totalShare;

	private final LoadSettings settings;

	private final SplittableRandom random;

	LoadPlan(LoadSettings settings) {
		this.settings = settings;
		this.accounts = parseAccounts(settings);
		this.readPaths = List.of(settings.readPaths().split(","));
		this.writePaths = List.of(settings.writePaths().split(","));
		this.totalShare = this.accounts.stream().mapToDouble(AccountShare::share).sum();
		this.random = new SplittableRandom(settings.seed());
	}

	private static List<AccountShare> parseAccounts(LoadSettings settings) {
		Findings findings = new Findings();
		if (settings.entries().isEmpty() == settings.direct().isEmpty()) {
			findings.add("--entries and --direct", settings.entries() + settings.direct(),
					"are both set or both not set", "set one of them, such as --entries 127.0.0.1:8080");
		}
		List<AccountShare> accounts = new ArrayList<>();
		for (String text : settings.accounts().split(",")) {
			String[] parts = text.split(":");
			try {
				double share = Double.parseDouble(parts[2]);
				if (share > 0) {
					accounts.add(new AccountShare(parts[0], parts[1], share));
					continue;
				}
			}
			catch (NumberFormatException ex) {
				// The finding below reports it, as it does a share out of bounds.
			}
			findings.add("--accounts", parts[0] + ":...:" + parts[2], "has no share above 0", "write such as 1.5");
		}
		findings.throwIfAny();
		return List.copyOf(accounts);
	}

	List<AccountShare> accounts() {
		return this.accounts;
	}

	/**
	 * Returns the number of requests of the run.
	 * @return the number, including the requests of the warm-up
	 */
	long requestCount() {
		return firstReportedNumber() + Math.round(this.settings.rate() * this.settings.seconds());
	}

	/**
	 * Returns the number of the first request after the warm-up. The report leaves out
	 * earlier requests.
	 * @return the number, from 0
	 */
	long firstReportedNumber() {
		return Math.round(this.settings.rate() * this.settings.warmUpSeconds());
	}

	/**
	 * Returns the intended time of sending a request.
	 * @param number the request's number, from 0
	 * @return the time after the start, in nanoseconds
	 */
	long offsetNanos(long number) {
		return (long) (number * NANOS_PER_SECOND / this.settings.rate());
	}

	/**
	 * Draws the next request at random.
	 * @param number the request's number, from 0
	 * @param intendedNanos the intended time of sending, as of {@link System#nanoTime()}
	 * @return the request to send
	 */
	PlannedRequest nextRequest(long number, long intendedNanos) {
		AccountShare account = drawAccount();
		boolean idempotent = this.random.nextDouble() * PERCENT >= this.settings.nonIdempotentPercent();
		List<String> paths = idempotent ? this.readPaths : this.writePaths;
		String path = paths.get(this.random.nextInt(paths.size())).replace("{n}", String.valueOf(number));
		return new PlannedRequest(number, intendedNanos, account, idempotent, path);
	}

	private AccountShare drawAccount() {
		double remainder = this.random.nextDouble() * this.totalShare;
		for (AccountShare account : this.accounts) {
			remainder -= account.share();
			if (remainder < 0) {
				return account;
			}
		}
		return this.accounts.get(this.accounts.size() - 1);
	}

	/**
	 * A client account with its share of the load.
	 *
	 * @param name the name in the report
	 * @param key the key that its requests send in X-Api-Key
	 * @param share its share of the requests, relative to the others
	 */
	record AccountShare(String name, String key, double share) {
	}

	/**
	 * A request to send.
	 *
	 * @param number the number, from 0
	 * @param intendedNanos the intended time of sending, as of {@link System#nanoTime()};
	 * the latency is measured from it
	 * @param account the client account that sends it
	 * @param idempotent {@code true} for a GET, {@code false} for a POST
	 * @param path the path, in which {@code {n}} has been replaced by the number
	 */
	record PlannedRequest(long number, long intendedNanos, AccountShare account, boolean idempotent, String path) {
	}

}
