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
 * Encodes each message as a payload: a map with {@code type}, {@code id} and the fields
 * of the message. Unknown fields are ignored. A missing field makes the payload
 * malformed, since a default value could change the meaning of the message. For example
 * <pre>
 * byte[] payload = codec.encode(7, new PeerMessage.Nudge(120));
 * </pre>
 */
public final class PeerCodec {

	private static final String TYPE = "type";

	private static final String ID = "id";

	private static final Map<String, Class<? extends PeerMessage>> CLASSES_BY_TYPE = new LinkedHashMap<>();

	private static final Map<Class<? extends PeerMessage>, String> TYPES_BY_CLASS = new HashMap<>();

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

	private final ObjectMapper mapper = PeerObjectMapperFactory.create();

	private final PayloadCodec payloads = new PayloadCodec(this.mapper);

	private static void register(String type, Class<? extends PeerMessage> messageClass) {
		CLASSES_BY_TYPE.put(type, messageClass);
		TYPES_BY_CLASS.put(messageClass, type);
	}

	/**
	 * Encodes a message.
	 * @param id the correlation id that a request and its answer share
	 * @param message the message
	 * @return the payload for a frame, ending with its checksum
	 * @throws IllegalStateException if the message's class is not registered
	 */
	public byte[] encode(long id, PeerMessage message) {
		String type = TYPES_BY_CLASS.get(message.getClass());
		if (type == null) {
			throw new IllegalStateException(
					message.getClass().getSimpleName() + " is not registered; register it in PeerCodec");
		}
		ObjectNode fields = this.mapper.valueToTree(message);
		if (fields.has(TYPE) || fields.has(ID)) {
			throw new IllegalStateException("a field of message type " + type
					+ " is named 'type' or 'id', which PeerCodec adds itself; rename the field in PeerObjectMapperFactory");
		}
		fields.put(TYPE, type).put(ID, id);
		return this.payloads.encode(fields);
	}

	/**
	 * Decodes a payload.
	 * @param payload the payload of a frame
	 * @return {@link Decoded.Message}, or {@link Decoded.UnknownType} for a type that
	 * this version of the code does not know
	 * @throws PeerProtocolException if the payload is malformed
	 */
	public Decoded decode(byte[] payload) throws PeerProtocolException {
		ObjectNode fields = this.payloads.decode(payload);
		JsonNode type = fields.remove(TYPE);
		JsonNode id = fields.remove(ID);
		if (type == null || !type.isTextual() || id == null || !id.canConvertToLong() || !id.isIntegralNumber()) {
			throw new PeerProtocolException("the payload has no string field 'type' or no integer field 'id'");
		}
		Class<? extends PeerMessage> messageClass = CLASSES_BY_TYPE.get(type.textValue());
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
		return CLASSES_BY_TYPE.values();
	}

	/**
	 * A decoded payload.
	 */
	public sealed interface Decoded {

		/**
		 * Returns the correlation id.
		 * @return the id that a request and its answer share
		 */
		long id();

		/**
		 * A message of a known type.
		 *
		 * @param id the correlation id
		 * @param message the message
		 */
		record Message(long id, PeerMessage message) implements Decoded {
		}

		/**
		 * A message of a type that this version does not know, as a newer version may
		 * send.
		 *
		 * @param id the correlation id
		 * @param type the value of the field {@code type}
		 */
		record UnknownType(long id, String type) implements Decoded {
		}

	}

}
