package org.plantainspur.core.request;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * An immutable, ordered list of HTTP header fields; names are compared without regard to
 * case.
 */
public final class Headers {

	/** The caller's API key. It is never sent to a target and never logged. */
	public static final String API_KEY = "X-Api-Key";

	/**
	 * Identifies a non-idempotent request, so that a repeat isn't run again. The value is
	 * a dispatch token, a dot and a value that the caller chooses.
	 */
	public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	/** How many milliseconds the sender still waits for the answer. */
	public static final String DEADLINE = "X-Deadline-Ms";

	/** The id of the client account. Only the system sets it, for the target. */
	public static final String CLIENT_ACCOUNT = "X-Client-Account";

	/**
	 * A random id for the work on one request at one host, the same in all its attempts.
	 * Only the system sets it, for the target.
	 */
	public static final String REQUEST_ID = "X-Request-Id";

	/** A target sets it to {@code true} if it did not run the request. */
	public static final String NOT_RUN = "X-Not-Run";

	/** A target sets it to {@code draining} while it prepares to stop. */
	public static final String TARGET_STATE = "X-Target-State";

	private static final Headers EMPTY = new Headers(List.of());

	private final List<Field> fields;

	private Headers(List<Field> fields) {
		this.fields = fields;
	}

	/**
	 * Returns headers without any field.
	 * @return a shared instance
	 */
	public static Headers empty() {
		return EMPTY;
	}

	/**
	 * Returns these headers with one field appended, also if a field of this name exists.
	 * @param name the field's name
	 * @param value the field's value
	 * @return the extended copy
	 */
	public Headers with(String name, String value) {
		List<Field> copy = new ArrayList<>(this.fields);
		copy.add(new Field(name, value));
		return new Headers(Collections.unmodifiableList(copy));
	}

	/**
	 * Returns these headers with fields appended.
	 * @param more the fields to append, in this order
	 * @return the extended copy
	 */
	public Headers with(Field... more) {
		List<Field> copy = new ArrayList<>(this.fields.size() + more.length);
		copy.addAll(this.fields);
		Collections.addAll(copy, more);
		return new Headers(Collections.unmodifiableList(copy));
	}

	/**
	 * Returns these headers without the fields of the given names.
	 * @param lowerCaseNames the names to leave out, in lower case
	 * @return the reduced copy
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
	 * Returns the value of the first field of a name.
	 * @param name the name, in any case
	 * @return the value, or {@code null} if there is no such field
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
	 * Returns the total length of the fields, without separators.
	 * @return the number of characters in all names and values
	 */
	public long length() {
		long length = 0;
		for (Field field : this.fields) {
			length += field.name().length() + field.value().length();
		}
		return length;
	}

	/**
	 * Returns all fields in order.
	 * @return an unmodifiable list, in which a name may occur more than once
	 */
	public List<Field> fields() {
		return this.fields;
	}

	/**
	 * One header field.
	 *
	 * @param name the name as it was sent or set, in any case
	 * @param value the value as text
	 */
	public record Field(String name, String value) {
	}

}
