package org.plantainspur.adapters.peer;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.security.SecureRandom;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Proves membership in both directions. The accepting side sends {@code challenge} with a
 * nonce; the connecting side's first frame, {@code hello}, answers it with an HMAC of the
 * fleet secret over both nonces; the accepting side proves itself in {@code welcome}. The
 * roles are part of the HMAC, so that a proof cannot be sent back to its sender.
 */
final class PeerHandshake {

	/** The largest frame in bytes from a peer that has proved nothing yet. */
	private static final int MAXIMUM_BYTES = 512;

	private static final int NONCE_BYTES = 32;

	private static final String NONCE = "nonce";

	private static final String PROOF = "proof";

	private static final String CONNECTING = "connecting";

	private static final String ACCEPTING = "accepting";

	private final FleetSecret secret;

	private final PeerCodec codec;

	private final SecureRandom random = new SecureRandom();

	PeerHandshake(FleetSecret secret, PeerCodec codec) {
		this.secret = secret;
		this.codec = codec;
	}

	/**
	 * Runs the accepting side.
	 * @param input from the peer
	 * @param output to the peer
	 * @throws PeerProtocolException if the peer does not prove its membership
	 * @throws IOException if the connection ends
	 */
	void accept(DataInputStream input, DataOutputStream output) throws IOException {
		byte[] challenge = nonce();
		send(output, "challenge", this.codec.emptyFields().put(NONCE, challenge));
		ObjectNode hello = receive(input, "hello");
		byte[] answered = bytes(hello, NONCE);
		if (!this.secret.proves(bytes(hello, PROOF), CONNECTING, challenge, answered)) {
			throw new PeerProtocolException("the peer did not prove that it has the fleet secret");
		}
		send(output, "welcome", this.codec.emptyFields().put(PROOF, this.secret.proof(ACCEPTING, answered, challenge)));
	}

	/**
	 * Runs the connecting side.
	 * @param input from the peer
	 * @param output to the peer
	 * @throws PeerProtocolException if the peer does not prove its membership
	 * @throws IOException if the connection ends
	 */
	void connect(DataInputStream input, DataOutputStream output) throws IOException {
		byte[] challenge = bytes(receive(input, "challenge"), NONCE);
		byte[] own = nonce();
		send(output, "hello",
				this.codec.emptyFields().put(NONCE, own).put(PROOF, this.secret.proof(CONNECTING, challenge, own)));
		if (!this.secret.proves(bytes(receive(input, "welcome"), PROOF), ACCEPTING, own, challenge)) {
			throw new PeerProtocolException("the peer did not prove that it has the fleet secret");
		}
	}

	private byte[] nonce() {
		byte[] nonce = new byte[NONCE_BYTES];
		this.random.nextBytes(nonce);
		return nonce;
	}

	private void send(DataOutputStream output, String type, ObjectNode fields) throws IOException {
		PeerFrames.write(output, this.codec.payloads().encode(fields.put("type", type).put("id", 0)));
	}

	private ObjectNode receive(DataInputStream input, String type) throws IOException {
		ObjectNode fields = this.codec.payloads().decode(PeerFrames.read(input, MAXIMUM_BYTES));
		if (!type.equals(fields.path("type").textValue())) {
			throw new PeerProtocolException("the peer did not send '" + type + "' when it had to");
		}
		return fields;
	}

	private static byte[] bytes(ObjectNode fields, String name) throws PeerProtocolException {
		JsonNode node = fields.path(name);
		try {
			byte[] value = node.isBinary() ? node.binaryValue() : null;
			if (value != null && value.length == NONCE_BYTES) {
				return value;
			}
		}
		catch (IOException ex) {
			throw new PeerProtocolException("'" + name + "' is not binary", ex);
		}
		throw new PeerProtocolException("'" + name + "' does not hold " + NONCE_BYTES + " bytes");
	}

}
