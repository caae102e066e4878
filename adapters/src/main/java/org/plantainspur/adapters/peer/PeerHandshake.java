package org.plantainspur.adapters.peer;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.security.SecureRandom;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Authenticates both sides of a connection with the fleet secret. The accepting side
 * sends {@code challenge} with a nonce. The connecting side answers with {@code hello},
 * which has its own nonce and an HMAC over both nonces with the fleet secret as the key.
 * The accepting side sends its own HMAC in {@code welcome}. The HMAC also covers the role
 * of its sender, so that a proof cannot be reflected to the side that made it.
 */
final class PeerHandshake {

	/** Maximum size of a frame from a peer that is not authenticated yet, in bytes. */
	private static final int MAXIMUM_FRAME_BYTES = 512;

	/** Length of a nonce, and also of a proof by HMAC-SHA256, in bytes. */
	private static final int NONCE_BYTES = 32;

	private static final String NONCE = "nonce";

	private static final String PROOF = "proof";

	private static final String CONNECTING_ROLE = "connecting";

	private static final String ACCEPTING_ROLE = "accepting";

	private final FleetSecret secret;

	private final PeerCodec codec;

	private final SecureRandom random = new SecureRandom();

	PeerHandshake(FleetSecret secret, PeerCodec codec) {
		this.secret = secret;
		this.codec = codec;
	}

	/**
	 * Runs the accepting side.
	 * @param input the stream from the peer
	 * @param output the stream to the peer
	 * @throws PeerProtocolException if the peer does not prove that it has the secret
	 * @throws IOException if the connection ends
	 */
	void accept(DataInputStream input, DataOutputStream output) throws IOException {
		byte[] challenge = createNonce();
		send(output, "challenge", this.codec.emptyFields().put(NONCE, challenge));
		ObjectNode hello = receive(input, "hello");
		byte[] peerNonce = readBytes(hello, NONCE);
		if (!this.secret.isValidProof(readBytes(hello, PROOF), CONNECTING_ROLE, challenge, peerNonce)) {
			throw new PeerProtocolException("the peer did not prove that it has the fleet secret");
		}
		send(output, "welcome",
				this.codec.emptyFields().put(PROOF, this.secret.proof(ACCEPTING_ROLE, peerNonce, challenge)));
	}

	/**
	 * Runs the connecting side.
	 * @param input the stream from the peer
	 * @param output the stream to the peer
	 * @throws PeerProtocolException if the peer does not prove that it has the secret
	 * @throws IOException if the connection ends
	 */
	void connect(DataInputStream input, DataOutputStream output) throws IOException {
		byte[] challenge = readBytes(receive(input, "challenge"), NONCE);
		byte[] ownNonce = createNonce();
		send(output, "hello",
				this.codec.emptyFields()
					.put(NONCE, ownNonce)
					.put(PROOF, this.secret.proof(CONNECTING_ROLE, challenge, ownNonce)));
		if (!this.secret.isValidProof(readBytes(receive(input, "welcome"), PROOF), ACCEPTING_ROLE, ownNonce,
				challenge)) {
			throw new PeerProtocolException("the peer did not prove that it has the fleet secret");
		}
	}

	private byte[] createNonce() {
		byte[] nonce = new byte[NONCE_BYTES];
		this.random.nextBytes(nonce);
		return nonce;
	}

	private void send(DataOutputStream output, String type, ObjectNode fields) throws IOException {
		PeerFrames.write(output, this.codec.payloads().encode(fields.put("type", type).put("id", 0)));
	}

	private ObjectNode receive(DataInputStream input, String type) throws IOException {
		ObjectNode fields = this.codec.payloads().decode(PeerFrames.read(input, MAXIMUM_FRAME_BYTES));
		if (!type.equals(fields.path("type").textValue())) {
			throw new PeerProtocolException("the peer sent another message where '" + type + "' was expected");
		}
		return fields;
	}

	private static byte[] readBytes(ObjectNode fields, String name) throws PeerProtocolException {
		JsonNode node = fields.path(name);
		try {
			byte[] value = node.isBinary() ? node.binaryValue() : null;
			if (value != null && value.length == NONCE_BYTES) {
				return value;
			}
		}
		catch (IOException ex) {
			throw new PeerProtocolException("the handshake field '" + name + "' is not binary", ex);
		}
		throw new PeerProtocolException("the handshake field '" + name + "' does not hold " + NONCE_BYTES + " bytes");
	}

}
