package org.plantainspur.gateway.http;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests and rejects those with both a content length and chunked encoding: two
 * parsers may disagree on where such a request ends, which allows request smuggling.
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
