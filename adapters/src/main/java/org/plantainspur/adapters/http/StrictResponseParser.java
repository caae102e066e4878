package org.plantainspur.adapters.http;

import java.io.IOException;
import java.io.InputStream;
import java.util.regex.Pattern;

import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultHttpResponseParser;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.jspecify.annotations.Nullable;

/**
 * Parses the head of a response, and rejects one that consists of the beginning of an
 * earlier response and of another one. Unlike HttpClient's default, it does not skip
 * lines before the status line.
 */
final class StrictResponseParser extends DefaultHttpResponseParser {

	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] \\d{3}");

	StrictResponseParser(@Nullable Http1Config config) {
		super(config);
	}

	@Override
	public ClassicHttpResponse parse(SessionInputBuffer buffer, InputStream input) throws IOException, HttpException {
		ClassicHttpResponse response = super.parse(buffer, input);
		if (hasStatusLine(response.getReasonPhrase())) {
			throw new ProtocolException("the reason phrase of the response has a second status line");
		}
		for (Header header : response.getHeaders()) {
			if (hasStatusLine(header.getName()) || hasStatusLine(header.getValue())) {
				throw new ProtocolException("the header " + header.getName() + " has a second status line");
			}
		}
		return response;
	}

	private static boolean hasStatusLine(@Nullable String text) {
		return text != null && STATUS_LINE.matcher(text).find();
	}

}
