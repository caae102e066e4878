package org.plantainspur.gateway.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;

import org.plantainspur.core.reach.RelayKey;

/**
 * Proves that a host of the fleet has sent a request to be relayed: a keyed hash, with
 * the key of the receiving process, of all that decides what the request does. A request
 * is accepted once and for a short time, so that a recorded one cannot be sent again.
 * Thread-safe.
 */
public final class RelayProof {

	/**
	 * The longest difference between the clocks of two hosts, with the time on the way.
	 */
	static final long MAX_AGE_MS = 30_000;

	/** The requests that are remembered; beyond it further ones are rejected. */
	private static final int MAX_NONCES = 20_000;

	private static final String ALGORITHM = "HmacSHA256";

	private final HeaderNames headerNames;

	/** When each accepted request was sent, oldest first. */
	private final Map<String, Long> acceptedMs = new LinkedHashMap<>();

	public RelayProof(HeaderNames headerNames) {
		this.headerNames = headerNames;
	}

	/**
	 * Adds the proof to a request.
	 * @param request the request with all its other headers
	 * @param key the key of the host that it is sent to
	 * @param nowMs the time of day in Unix milliseconds
	 */
	void sign(FullHttpRequest request, RelayKey key, long nowMs) {
		request.headers().set(RelayHeaders.NONCE, Long.toHexString(ThreadLocalRandom.current().nextLong()));
		request.headers().set(RelayHeaders.SENT_MS, nowMs);
		request.headers().set(RelayHeaders.PROOF, HexFormat.of().formatHex(hash(request, key)));
	}

	/**
	 * Checks the proof of a request. A second check of the same request fails.
	 * @param request the request as received
	 * @param key the key of this host
	 * @param nowMs the time of day in Unix milliseconds
	 * @return whether a host of the fleet has sent it just now
	 */
	boolean accept(FullHttpRequest request, RelayKey key, long nowMs) {
		HttpHeaders headers = request.headers();
		String sent = headers.get(RelayHeaders.SENT_MS, "");
		String proof = headers.get(RelayHeaders.PROOF, "");
		if (!sent.matches("\\d{1,15}") || !proof.matches("[0-9a-f]{64}")
				|| Math.abs(nowMs - Long.parseLong(sent)) > MAX_AGE_MS) {
			return false;
		}
		return MessageDigest.isEqual(HexFormat.of().parseHex(proof), hash(request, key))
				&& isFirst(headers.get(RelayHeaders.NONCE, ""), nowMs);
	}

	private boolean isFirst(String nonce, long nowMs) {
		synchronized (this.acceptedMs) {
			Iterator<Long> oldestFirst = this.acceptedMs.values().iterator();
			while (oldestFirst.hasNext() && nowMs - oldestFirst.next() > 2 * MAX_AGE_MS) {
				oldestFirst.remove();
			}
			return this.acceptedMs.size() < MAX_NONCES && this.acceptedMs.putIfAbsent(nonce, nowMs) == null;
		}
	}

	private byte[] hash(FullHttpRequest request, RelayKey key) {
		HttpHeaders headers = request.headers();
		String text = String.join("\n", request.method().name(), request.uri(),
				headers.get(this.headerNames.requestId(), ""), headers.get(this.headerNames.account(), ""),
				headers.get(this.headerNames.expectedTarget(), ""), headers.get(this.headerNames.deadlineMs(), ""),
				headers.get(RelayHeaders.TARGET, ""), headers.get(RelayHeaders.RETRYABLE, ""),
				headers.get(RelayHeaders.NONCE, ""), headers.get(RelayHeaders.SENT_MS, ""), "");
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

}
