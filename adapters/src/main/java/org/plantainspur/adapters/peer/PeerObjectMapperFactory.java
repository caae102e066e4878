package org.plantainspur.adapters.peer;

import java.io.IOException;
import java.util.Iterator;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import org.msgpack.jackson.dataformat.MessagePackFactory;

import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.request.CallerAnswer;
import org.plantainspur.core.request.Headers;

/**
 * Creates the Jackson mapper for peer messages. The mapper rejects a value of the wrong
 * type instead of converting it, such as a string in place of a number.
 */
final class PeerObjectMapperFactory {

	private PeerObjectMapperFactory() {
	}

	static ObjectMapper create() {
		SimpleModule module = new SimpleModule().addSerializer(Headers.class, new HeadersSerializer())
			.addDeserializer(Headers.class, new HeadersDeserializer());
		return JsonMapper.builder(new MessagePackFactory())
			.disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
			.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, DeserializationFeature.ACCEPT_FLOAT_AS_INT)
			.enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES,
					DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES,
					DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES,
					DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY,
					DeserializationFeature.FAIL_ON_NUMBERS_FOR_ENUMS)
			.addMixIn(CallerAnswer.class, CallerAnswerMixIn.class)
			.addMixIn(Change.class, ChangeMixIn.class)
			.addMixIn(PeerMessage.Unsupported.class, UnsupportedMixIn.class)
			.addModule(module)
			.build();
	}

	@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
	@JsonSubTypes({ @JsonSubTypes.Type(value = CallerAnswer.Answered.class, name = "answered"),
			@JsonSubTypes.Type(value = CallerAnswer.Refused.class, name = "refused") })
	private interface CallerAnswerMixIn {

	}

	@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
	@JsonSubTypes({ @JsonSubTypes.Type(value = Change.PutAccount.class, name = "put-account"),
			@JsonSubTypes.Type(value = Change.RemoveAccount.class, name = "remove-account"),
			@JsonSubTypes.Type(value = Change.IssueKey.class, name = "issue-key"),
			@JsonSubTypes.Type(value = Change.WithdrawKey.class, name = "withdraw-key"),
			@JsonSubTypes.Type(value = Change.PutRoute.class, name = "put-route"),
			@JsonSubTypes.Type(value = Change.RemoveRoute.class, name = "remove-route"),
			@JsonSubTypes.Type(value = Change.PutService.class, name = "put-service"),
			@JsonSubTypes.Type(value = Change.ApplySheet.class, name = "apply-sheet"),
			@JsonSubTypes.Type(value = Change.MemberJoined.class, name = "member-joined"),
			@JsonSubTypes.Type(value = Change.JoinRequested.class, name = "join-requested"),
			@JsonSubTypes.Type(value = Change.MembersAdmitted.class, name = "members-admitted"),
			@JsonSubTypes.Type(value = Change.MemberResigned.class, name = "member-resigned"),
			@JsonSubTypes.Type(value = Change.MembersRemoved.class, name = "members-removed"),
			@JsonSubTypes.Type(value = Change.MembersLost.class, name = "members-lost"),
			@JsonSubTypes.Type(value = Change.SeatsSettled.class, name = "seats-settled") })
	private interface ChangeMixIn {

	}

	/**
	 * Renames the field {@code type}, which would clash with the type of the message.
	 */
	private interface UnsupportedMixIn {

		@JsonProperty("unsupportedType")
		String type();

	}

	/**
	 * Encodes headers as one array in which each name is followed by its value.
	 */
	private static final class HeadersSerializer extends JsonSerializer<Headers> {

		@Override
		public void serialize(Headers headers, JsonGenerator generator, SerializerProvider provider)
				throws IOException {
			generator.writeStartArray();
			for (Headers.Field field : headers.fields()) {
				generator.writeString(field.name());
				generator.writeString(field.value());
			}
			generator.writeEndArray();
		}

	}

	private static final class HeadersDeserializer extends JsonDeserializer<Headers> {

		@Override
		public Headers deserialize(JsonParser parser, DeserializationContext context) throws IOException {
			JsonNode namesAndValues = context.readTree(parser);
			if (!namesAndValues.isArray() || namesAndValues.size() % 2 != 0) {
				return context.reportInputMismatch(Headers.class,
						"the headers are not an array of name and value pairs");
			}
			Headers headers = Headers.empty();
			for (Iterator<JsonNode> iterator = namesAndValues.elements(); iterator.hasNext();) {
				headers = headers.with(text(iterator.next(), context), text(iterator.next(), context));
			}
			return headers;
		}

		private static String text(JsonNode node, DeserializationContext context) throws IOException {
			return node.isTextual() ? node.textValue()
					: context.reportInputMismatch(Headers.class, "a header name or value is not a string");
		}

	}

}
