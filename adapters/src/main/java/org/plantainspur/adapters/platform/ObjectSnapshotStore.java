package org.plantainspur.adapters.platform;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.plantainspur.core.configuration.ChangeLog;
import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.configuration.ConfigurationState;
import org.plantainspur.core.configuration.SnapshotStore;

/**
 * Stores the newest snapshot of the configuration as JSON in the platform's object
 * {@code snapshot/newest}. The platform cannot list its objects, so the name is fixed.
 */
public final class ObjectSnapshotStore implements SnapshotStore {

	private static final String OBJECT_NAME = "snapshot/newest";

	private final PlatformClient client;

	private final ObjectMapper mapper = new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES,
			false);

	/**
	 * Creates the store.
	 * @param client the client of the platform
	 */
	public ObjectSnapshotStore(PlatformClient client) {
		this.client = client;
	}

	@Override
	public Optional<Configuration> newest() {
		try {
			Optional<JsonNode> content = this.client.object(OBJECT_NAME);
			return content.isPresent()
					? Optional
						.of(Configuration.restore(this.mapper.treeToValue(content.get(), ConfigurationState.class)))
					: Optional.empty();
		}
		catch (IOException ex) {
			throw unavailable("did not return the snapshot", ex);
		}
	}

	@Override
	public void put(Configuration configuration) {
		try {
			this.client.putObject(OBJECT_NAME, this.mapper.valueToTree(configuration.state()));
		}
		catch (IOException ex) {
			throw unavailable("did not store the snapshot", ex);
		}
	}

	private static ChangeLog.UnavailableException unavailable(String failure, IOException cause) {
		return new ChangeLog.UnavailableException("the platform " + failure + ": " + cause.getMessage(), cause);
	}

}
