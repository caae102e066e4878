package org.plantainspur.standins.gateway;

import java.util.Random;

/**
 * How a target sends a part or the whole of a response once more.
 *
 * @param bytes the bytes that are sent, as text
 * @param whole whether the copy is whole
 * @param moment when the copy is sent
 * @param delayMs the delay of a copy that is sent late, in milliseconds
 * @param pieces the number of writes in which it is sent
 */
record SecondCopy(String bytes, boolean whole, Moment moment, int delayMs, int pieces) {

	private static final int MAX_DELAY_MS = 300;

	static SecondCopy of(String response, Random random) {
		boolean whole = random.nextInt(3) == 0;
		String bytes = whole ? response : response.substring(0, 1 + random.nextInt(response.length() - 1));
		Moment moment = Moment.values()[random.nextInt(Moment.values().length)];
		return new SecondCopy(bytes, whole, moment, 1 + random.nextInt(MAX_DELAY_MS),
				random.nextBoolean() ? 1 : 2 + random.nextInt(3));
	}

	String form() {
		return (this.whole ? "whole" : "broken off") + " copy " + this.moment + " in "
				+ ((this.pieces == 1) ? "one write" : "several writes");
	}

	@Override
	public String toString() {
		return form() + ((this.moment == Moment.LATE) ? " after " + this.delayMs + " ms" : "") + ": "
				+ this.bytes.replace("\r", "\\r").replace("\n", "\\n");
	}

	/** When a copy is sent. */
	enum Moment {

		AT_ONCE, LATE, BEFORE_NEXT_RESPONSE

	}

}
