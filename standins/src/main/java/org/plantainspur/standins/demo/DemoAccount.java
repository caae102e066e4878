package org.plantainspur.standins.demo;

import java.util.Locale;

/**
 * The client accounts of the demonstration. The script {@code run-demo} uses the same ids
 * and keys.
 */
enum DemoAccount {

	/** Sends fewer requests than its rate limit allows. */
	HARBOR_CLINIC(300),

	/** Sends fewer requests than its rate limit allows. */
	NORTH_SCHOOL(150),

	/** Sends more requests than its rate limit allows. */
	CORNER_SHOP(10);

	private final double ratePerSecond;

	DemoAccount(double ratePerSecond) {
		this.ratePerSecond = ratePerSecond;
	}

	String id() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	String key() {
		return "demo-key-of-" + id();
	}

	double ratePerSecond() {
		return this.ratePerSecond;
	}

}
