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
 * Keeps the sequence of changes in the platform's table. The row {@code head} is written
 * once for each change, so its version is the newest sequence number;
 * {@code change/<sequence>} holds the change and {@code change-id/<id>} its sequence
 * number. All three are written in one transaction.
 */
public final class TableChangeLog implements ChangeLog {

	private static final String HEAD = "head";

	private static final String CHANGE = "change/";

	private static final String CHANGE_ID = "change-id/";

	private static final int PAGE = 500;

	private final PlatformClient client;

	private final ChangeCodec codec = new ChangeCodec();

	/**
	 * Creates the log.
	 * @param client the platform
	 */
	public TableChangeLog(PlatformClient client) {
		this.client = client;
	}

	@Override
	public long head() {
		try {
			return this.client.row(HEAD).map(PlatformClient.Row::version).orElse(0L);
		}
		catch (IOException ex) {
			throw unavailable("the head", ex);
		}
	}

	@Override
	public List<ChangeEntry> read(long after) {
		try {
			List<ChangeEntry> entries = new ArrayList<>();
			for (PlatformClient.Row row : this.client.rows(CHANGE, changeKey(after), PAGE)) {
				long sequence = Long.parseLong(row.key().substring(CHANGE.length()));
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
		writes.put(HEAD, LongNode.valueOf(sequence));
		writes.put(changeKey(sequence), this.codec.encode(changeId, change));
		writes.put(CHANGE_ID + changeId, LongNode.valueOf(sequence));
		try {
			if (this.client.transact(Map.of(HEAD, expectedHead, CHANGE_ID + changeId, 0L), writes)) {
				return new AppendResult.Appended(sequence);
			}
			OptionalLong written = find(changeId);
			return written.isPresent() ? new AppendResult.Appended(written.getAsLong())
					: new AppendResult.HeadMoved(head());
		}
		catch (IOException | UnavailableException ex) {
			return new AppendResult.Unknown("no answer from the platform: " + ex.getMessage());
		}
	}

	@Override
	public OptionalLong find(String changeId) {
		try {
			Optional<PlatformClient.Row> row = this.client.row(CHANGE_ID + changeId);
			return row.isPresent() ? OptionalLong.of(row.get().value().asLong()) : OptionalLong.empty();
		}
		catch (IOException ex) {
			throw unavailable("the change " + changeId, ex);
		}
	}

	private static String changeKey(long sequence) {
		return CHANGE + String.format("%012d", sequence);
	}

	private static UnavailableException unavailable(String what, IOException cause) {
		return new UnavailableException("the platform gave no answer for " + what + ": " + cause.getMessage(), cause);
	}

}
