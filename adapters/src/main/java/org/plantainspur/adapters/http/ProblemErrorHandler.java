package org.plantainspur.adapters.http;

import java.nio.ByteBuffer;

import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

/**
 * Sends problem documents for requests that Jetty itself refuses. Their detail never
 * repeats parts of the request, which may contain an API key.
 */
public final class ProblemErrorHandler extends ErrorHandler {

	@Override
	public boolean errorPageForMethod(String method) {
		return true;
	}

	@Override
	protected void generateResponse(Request request, Response response, int code, @Nullable String message,
			@Nullable Throwable cause, Callback callback) {
		byte[] document = encodeDocument(code, response.getHeaders());
		boolean head = HttpMethod.HEAD.is(request.getMethod());
		response.write(true, ByteBuffer.wrap(head ? new byte[0] : document), callback);
	}

	@Override
	public ByteBuffer badMessageError(int status, @Nullable String reason, HttpFields.Mutable fields) {
		return ByteBuffer.wrap(encodeDocument(status, fields));
	}

	private static byte[] encodeDocument(int status, HttpFields.Mutable fields) {
		byte[] document = ProblemDocument.encode(ProblemDocument.ofStatus(status), status);
		fields.put(HttpHeader.CONTENT_TYPE, ProblemDocument.MEDIA_TYPE);
		fields.put(HttpHeader.CONTENT_LENGTH, document.length);
		return document;
	}

}
