package org.plantainspur.core.request;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * HTTP header fields in order; names are compared without regard to case.
 */
public final class Headers {

	/** The caller's key. Never passed on, never logged. */
	public static final String API_KEY = "X-Api-Key";

	/** The identity of a non-idempotent request. */
	public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	/** Milliseconds that the sender is still willing to wait. */
	public static final String DEADLINE = "X-Deadline-Ms";

	/** The client account, set by the system for the target. */
	public static final String CLIENT_ACCOUNT = "X-Client-Account";

	/** The identity of this handling of a request, set by the system for the target. */
	public static final String REQUEST_ID = "X-Request-Id";

	/** Set to {@code true} by a target that did not run the request. */
	public static final String NOT_RUN = "X-Not-Run";

	/** Set to {@code draining} by a target that is leaving. */
	public static final String TARGET_STATE = "X-Target-State";

	private static final Headers EMPTY = new Headers(List.of());

	private final List<Field> fields;

	private Headers(List<Field> fields) {
		this.fields = fields;
	}

	/**
	 * Returns no header fields.
	 * @return the empty headers
	 */
	public static Headers empty() {
		return EMPTY;
	}

	/**
	 * Returns headers with one more field.
	 * @param name the name
	 * @param value the value
	 * @return a copy
	 */
	public Headers with(String name, String value) {
		List<Field> copy = new ArrayList<>(this.fields);
		copy.add(new Field(name, value));
		return new Headers(Collections.unmodifiableList(copy));
	}

	/**
	 * Returns headers with more fields.
	 * @param more the fields, in order
	 * @return a copy
	 */
	public Headers with(Field... more) {
		List<Field> copy = new ArrayList<>(this.fields.size() + more.length);
		copy.addAll(this.fields);
		Collections.addAll(copy, more);
		return new Headers(Collections.unmodifiableList(copy));
	}

	/**
	 * Returns headers without some fields.
	 * @param lowerCaseNames the names in lower case
	 * @return a copy
	 */
	public Headers without(Set<String> lowerCaseNames) {
		List<Field> copy = new ArrayList<>(this.fields.size());
		for (Field field : this.fields) {
			if (!lowerCaseNames.contains(field.name().toLowerCase(java.util.Locale.ROOT))) {
				copy.add(field);
			}
		}
		return new Headers(Collections.unmodifiableList(copy));
	}

	/**
	 * Returns the first value of a field.
	 * @param name the name
	 * @return the value, or {@code null} if there is none
	 */
	public @Nullable String first(String name) {
		for (Field field : this.fields) {
			if (field.name().equalsIgnoreCase(name)) {
				return field.value();
			}
		}
		return null;
	}

	/**
	 * Returns the size of the fields.
	 * @return the characters of all names and values
	 */
	public long length() {
		long length = 0;
		for (Field field : this.fields) {
			length += field.name().length() + field.value().length();
		}
		return length;
	}

	/**
	 * Returns the fields in order.
	 * @return an unmodifiable list
	 */
	public List<Field> fields() {
		return this.fields;
	}

	/**
	 * One header field.
	 *
	 * @param name the name
	 * @param value the value
	 */
	public record Field(String name, String value) {
	}

}
