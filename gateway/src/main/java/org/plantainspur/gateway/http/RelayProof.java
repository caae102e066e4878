package org.plantainspur.gateway.http;

import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.HexFormat;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;

import org.plantainspur.core.reach.RelayKey;

/**
 * Proves that a host of the fleet has sent a request to be relayed: a keyed hash, with
 * the key of the receiving process, of all that decides what the request does. It covers
 * the connection and the request's place on it, so that a recorded request cannot be sent
 * again on another connection or a second time on the same one. Thread-safe.
 */
public final class RelayProof {

	/**
	 * The longest difference between the clocks of two hosts, with the time on the way.
	 */
	static final long MAX_AGE_MS = 30_000;

	private static final String ALGORITHM = "HmacSHA256";

	private final HeaderNames headerNames;

	public RelayProof(HeaderNames headerNames) {
		this.headerNames = headerNames;
	}

	/**
	 * Adds the proof to a request.
	 * @param request the request with all its other headers
	 * @param key the key of the host that it is sent to
	 * @param place where the request is sent
	 * @param nowMs the time of day in Unix milliseconds
	 */
	void sign(FullHttpRequest request, RelayKey key, Place place, long nowMs) {
		request.headers().set(RelayHeaders.SENT_MS, nowMs);
		request.headers().set(RelayHeaders.PROOF, HexFormat.of().formatHex(hash(request, key, place)));
	}

	/**
	 * Checks the proof of a request.
	 * @param request the request as received
	 * @param key the key of this host
	 * @param place where the request was received
	 * @param nowMs the time of day in Unix milliseconds
	 * @return whether a host of the fleet has sent it just now
	 */
	boolean accept(FullHttpRequest request, RelayKey key, Place place, long nowMs) {
		HttpHeaders headers = request.headers();
		String sent = headers.get(RelayHeaders.SENT_MS, "");
		String proof = headers.get(RelayHeaders.PROOF, "");
		if (!sent.matches("\\d{1,15}") || !proof.matches("[0-9a-f]{64}")
				|| Math.abs(nowMs - Long.parseLong(sent)) > MAX_AGE_MS) {
			return false;
		}
		return MessageDigest.isEqual(HexFormat.of().parseHex(proof), hash(request, key, place));
	}

	private byte[] hash(FullHttpRequest request, RelayKey key, Place place) {
		HttpHeaders headers = request.headers();
		String text = String.join("\n", request.method().name(), request.uri(),
				headers.get(this.headerNames.requestId(), ""), headers.get(this.headerNames.account(), ""),
				headers.get(this.headerNames.expectedTarget(), ""), headers.get(this.headerNames.deadlineMs(), ""),
				headers.get(RelayHeaders.TARGET, ""), headers.get(RelayHeaders.RETRYABLE, ""),
				headers.get(RelayHeaders.SENT_MS, ""), place.toString(), "");
		try {
			Mac mac = Mac.getInstance(ALGORITHM);
			mac.init(new SecretKeySpec(key.bytes(), ALGORITHM));
			mac.update(text.getBytes(StandardCharsets.UTF_8));
			for (ByteBuffer part : request.content().nioBuffers()) {
				mac.update(part);
			}
			return mac.doFinal();
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException("every Java platform has " + ALGORITHM, ex);
		}
	}

	/**
	 * The place of a request: a connection and its position there.
	 *
	 * @param address the IP address of the sending host
	 * @param port the port from which the connection was opened
	 * @param position the number of requests before it on the connection
	 */
	record Place(String address, int port, int position) {

		static Place of(SocketAddress sender, int position) {
			InetSocketAddress address = (InetSocketAddress) sender;
			return new Place(address.getAddress().getHostAddress(), address.getPort(), position);
		}

	}

}
