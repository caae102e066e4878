package org.plantainspur.standins.demo;

import java.util.Locale;

/**
 * The client accounts of the demonstration. {@code run-demo} names their keys too.
 */
enum DemoAccount {

	/** Sends within its rate. */
	HARBOR_CLINIC(300),

	/** Sends within its rate. */
	NORTH_SCHOOL(150),

	/** Sends more than its rate. */
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
