package org.plantainspur.standins.load;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.plantainspur.core.finding.Findings;

/**
 * Which requests are sent when. The same seed gives the same requests.
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
		this.accounts = accounts(settings);
		this.readPaths = List.of(settings.readPaths().split(","));
		this.writePaths = List.of(settings.writePaths().split(","));
		this.totalShare = this.accounts.stream().mapToDouble(AccountShare::share).sum();
		this.random = new SplittableRandom(settings.seed());
	}

	private static List<AccountShare> accounts(LoadSettings settings) {
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
				// Reported below, together with shares out of bounds.
			}
			findings.add("--accounts", parts[0] + ":...:" + parts[2], "has no share above 0", "write such as 1.5");
		}
		findings.throwIfAny();
		return List.copyOf(accounts);
	}

	List<AccountShare> accounts() {
		return this.accounts;
	}

	long count() {
		return firstCounted() + Math.round(this.settings.rate() * this.settings.seconds());
	}

	/**
	 * Returns the first request after the warm-up.
	 * @return the request's number
	 */
	long firstCounted() {
		return Math.round(this.settings.rate() * this.settings.warmUpSeconds());
	}

	/**
	 * Returns when a request is to be sent.
	 * @param number the request's number, from 0
	 * @return nanoseconds after the start
	 */
	long offsetNanos(long number) {
		return (long) (number * NANOS_PER_SECOND / this.settings.rate());
	}

	/**
	 * Draws the next request.
	 * @param number the request's number, from 0
	 * @param intendedNanos when it is to be sent
	 * @return the request
	 */
	PlannedRequest draw(long number, long intendedNanos) {
		AccountShare account = account();
		boolean idempotent = this.random.nextDouble() * PERCENT >= this.settings.nonIdempotentPercent();
		List<String> paths = idempotent ? this.readPaths : this.writePaths;
		String path = paths.get(this.random.nextInt(paths.size())).replace("{n}", String.valueOf(number));
		return new PlannedRequest(number, intendedNanos, account, idempotent, path);
	}

	private AccountShare account() {
		double left = this.random.nextDouble() * this.totalShare;
		for (AccountShare account : this.accounts) {
			left -= account.share();
			if (left < 0) {
				return account;
			}
		}
		return this.accounts.get(this.accounts.size() - 1);
	}

	/**
	 * A client account of the load.
	 *
	 * @param name the name, used in the report
	 * @param key the key that its requests carry
	 * @param share its share of the requests, relative to the others
	 */
	record AccountShare(String name, String key, double share) {
	}

	/**
	 * A request.
	 *
	 * @param number the number, from 0
	 * @param intendedNanos when it is to be sent; latency counts from here
	 * @param account the client account
	 * @param idempotent whether it is a GET, otherwise it is a POST
	 * @param path the path
	 */
	record PlannedRequest(long number, long intendedNanos, AccountShare account, boolean idempotent, String path) {
	}

}
