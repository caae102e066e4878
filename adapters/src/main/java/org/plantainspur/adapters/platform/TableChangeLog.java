package org.plantainspur.adapters.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.LongNode;

import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.ChangeEntry;
import org.plantainspur.core.configuration.ChangeLog;

/**
 * Stores the sequence of configuration changes in the platform's table. Each change
 * writes three rows in one transaction: {@code head}, {@code change/<sequence>} with the
 * change, and {@code change-id/<id>} with its sequence number. The row {@code head} is
 * written once for each change, so its version equals the newest sequence number.
 */
public final class TableChangeLog implements ChangeLog {

	private static final String HEAD_KEY = "head";

	private static final String CHANGE_PREFIX = "change/";

	private static final String CHANGE_ID_PREFIX = "change-id/";

	/** Maximum number of changes that one read returns. */
	private static final int PAGE_SIZE = 500;

	private final PlatformClient client;

	private final ChangeCodec codec = new ChangeCodec();

	/**
	 * Creates the log.
	 * @param client the client of the platform
	 */
	public TableChangeLog(PlatformClient client) {
		this.client = client;
	}

	@Override
	public long head() {
		try {
			return this.client.row(HEAD_KEY).map(PlatformClient.Row::version).orElse(0L);
		}
		catch (IOException ex) {
			throw unavailable("the head", ex);
		}
	}

	@Override
	public List<ChangeEntry> read(long after) {
		try {
			List<ChangeEntry> entries = new ArrayList<>();
			for (PlatformClient.Row row : this.client.rows(CHANGE_PREFIX, changeKey(after), PAGE_SIZE)) {
				long sequence = Long.parseLong(row.key().substring(CHANGE_PREFIX.length()));
				entries.add(this.codec.decode(sequence, row.value()));
			}
			return entries;
		}
		catch (IOException ex) {
			throw unavailable("the changes after " + after, ex);
		}
	}

	@Override
	public AppendResult append(long expectedHead, String changeId, Change change) {
		long sequence = expectedHead + 1;
		Map<String, JsonNode> writes = new LinkedHashMap<>();
		writes.put(HEAD_KEY, LongNode.valueOf(sequence));
		writes.put(changeKey(sequence), this.codec.encode(changeId, change));
		writes.put(CHANGE_ID_PREFIX + changeId, LongNode.valueOf(sequence));
		try {
			if (this.client.transact(Map.of(HEAD_KEY, expectedHead, CHANGE_ID_PREFIX + changeId, 0L), writes)) {
				return new AppendResult.Appended(sequence);
			}
			OptionalLong existingSequence = find(changeId);
			return existingSequence.isPresent() ? new AppendResult.Appended(existingSequence.getAsLong())
					: new AppendResult.HeadMoved(head());
		}
		catch (IOException | UnavailableException ex) {
			return new AppendResult.Unknown("no answer from the platform: " + ex.getMessage());
		}
	}

	@Override
	public OptionalLong find(String changeId) {
		try {
			Optional<PlatformClient.Row> row = this.client.row(CHANGE_ID_PREFIX + changeId);
			return row.isPresent() ? OptionalLong.of(row.get().value().asLong()) : OptionalLong.empty();
		}
		catch (IOException ex) {
			throw unavailable("the change " + changeId, ex);
		}
	}

	// The number is padded with zeros, so that the keys sort in the order of the changes.
	private static String changeKey(long sequence) {
		return CHANGE_PREFIX + String.format("%012d", sequence);
	}

	private static UnavailableException unavailable(String subject, IOException cause) {
		return new UnavailableException("the platform gave no answer for " + subject + ": " + cause.getMessage(),
				cause);
	}

}
