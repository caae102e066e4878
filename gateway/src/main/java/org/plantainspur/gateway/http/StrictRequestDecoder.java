package org.plantainspur.gateway.http;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests and refuses those with both a length and chunks, which two readers may
 * end at different places.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

	private static final int MAX_CHUNK_BYTES = 8_192;

	StrictRequestDecoder(int maxHeaderBytes) {
		super(maxHeaderBytes, maxHeaderBytes, MAX_CHUNK_BYTES);
	}

	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		throw new IllegalArgumentException("the request has both Content-Length and Transfer-Encoding");
	}

}
