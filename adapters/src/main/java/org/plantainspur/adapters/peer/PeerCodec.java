package org.plantainspur.adapters.peer;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.plantainspur.core.peer.PeerMessage;

/**
 * Encodes messages as payloads: a map with {@code type}, {@code id} and the message's
 * fields. Unknown fields are ignored; a missing field is a fault, since a default could
 * change the meaning. For example <pre>
 * byte[] payload = codec.encode(7, new PeerMessage.Nudge(120));
 * </pre>
 */
public final class PeerCodec {

	private static final String TYPE = "type";

	private static final String ID = "id";

	private static final Map<String, Class<? extends PeerMessage>> CLASSES = new LinkedHashMap<>();

	private static final Map<Class<? extends PeerMessage>, String> TYPES = new HashMap<>();

	static {
		register("heartbeat", PeerMessage.Heartbeat.class);
		register("configuration-request", PeerMessage.ConfigurationRequest.class);
		register("configuration-changes", PeerMessage.ConfigurationChanges.class);
		register("configuration-part-request", PeerMessage.ConfigurationPartRequest.class);
		register("configuration-part", PeerMessage.PartOfConfiguration.class);
		register("target-list-request", PeerMessage.TargetListRequest.class);
		register("target-list", PeerMessage.TargetList.class);
		register("nudge", PeerMessage.Nudge.class);
		register("borrow", PeerMessage.Borrow.class);
		register("lent", PeerMessage.Lent.class);
		register("report-request", PeerMessage.ReportRequest.class);
		register("report", PeerMessage.Report.class);
		register("verdicts", PeerMessage.Verdicts.class);
		register("relay", PeerMessage.Relay.class);
		register("relayed", PeerMessage.Relayed.class);
		register("suspect", PeerMessage.Suspect.class);
		register("acknowledged", PeerMessage.Acknowledged.class);
		register("unsupported", PeerMessage.Unsupported.class);
	}

	private final ObjectMapper mapper = PeerMapper.create();

	private final PayloadCodec payloads = new PayloadCodec(this.mapper);

	private static void register(String type, Class<? extends PeerMessage> messageClass) {
		CLASSES.put(type, messageClass);
		TYPES.put(messageClass, type);
	}

	/**
	 * Encodes a message.
	 * @param id the correlation of a request and its answer
	 * @param message the message
	 * @return the payload of a frame
	 * @throws IllegalStateException if the message's class is not registered
	 */
	public byte[] encode(long id, PeerMessage message) {
		String type = TYPES.get(message.getClass());
		if (type == null) {
			throw new IllegalStateException(
					message.getClass().getSimpleName() + " is not registered; add it to PeerCodec");
		}
		ObjectNode fields = this.mapper.valueToTree(message);
		if (fields.has(TYPE) || fields.has(ID)) {
			throw new IllegalStateException("a field of message " + type
					+ " is called 'type' or 'id', which name the message itself; rename it in PeerMapper");
		}
		fields.put(TYPE, type).put(ID, id);
		return this.payloads.encode(fields);
	}

	/**
	 * Decodes a payload.
	 * @param payload the payload of a frame
	 * @return {@link Decoded.Message}, or {@link Decoded.UnknownType} for a type that
	 * this version does not know
	 * @throws PeerProtocolException if the payload is malformed
	 */
	public Decoded decode(byte[] payload) throws PeerProtocolException {
		ObjectNode fields = this.payloads.decode(payload);
		JsonNode type = fields.remove(TYPE);
		JsonNode id = fields.remove(ID);
		if (type == null || !type.isTextual() || id == null || !id.canConvertToLong() || !id.isIntegralNumber()) {
			throw new PeerProtocolException("the payload has no type or no id");
		}
		Class<? extends PeerMessage> messageClass = CLASSES.get(type.textValue());
		if (messageClass == null) {
			return new Decoded.UnknownType(id.longValue(), type.textValue());
		}
		try {
			return new Decoded.Message(id.longValue(), this.mapper.treeToValue(fields, messageClass));
		}
		catch (JsonProcessingException | RuntimeException ex) {
			throw new PeerProtocolException("a message of type " + type.textValue() + " is malformed", ex);
		}
	}

	PayloadCodec payloads() {
		return this.payloads;
	}

	ObjectNode emptyFields() {
		return this.mapper.createObjectNode();
	}

	static Iterable<Class<? extends PeerMessage>> registered() {
		return CLASSES.values();
	}

	/**
	 * A decoded payload.
	 */
	public sealed interface Decoded {

		/**
		 * Returns the correlation.
		 * @return the id
		 */
		long id();

		/**
		 * A known message.
		 *
		 * @param id the correlation
		 * @param message the message
		 */
		record Message(long id, PeerMessage message) implements Decoded {
		}

		/**
		 * A message of a newer version.
		 *
		 * @param id the correlation
		 * @param type the unknown type
		 */
		record UnknownType(long id, String type) implements Decoded {
		}

	}

}
