package org.plantainspur.standins.demo;

import java.io.IOException;
import java.net.URI;
import java.util.Map;

import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.entity.StringEntity;

/**
 * A blocking HTTP client for the programs of the demonstration. It does not retry.
 */
final class DemoHttpClient implements AutoCloseable {

	private static final int OK = 200;

	private final CloseableHttpClient client = HttpClients.custom()
		.disableAutomaticRetries()
		.disableCookieManagement()
		.build();

	Response send(String method, String address, String path, Map<String, String> headers, String body)
			throws IOException {
		HttpUriRequestBase request = new HttpUriRequestBase(method, URI.create("http://" + address + path));
		headers.forEach(request::addHeader);
		if (!body.isEmpty()) {
			request.setEntity(new StringEntity(body, ContentType.APPLICATION_JSON));
		}
		return this.client.execute(request, (response) -> new Response(response.getCode(),
				(response.getEntity() != null) ? EntityUtils.toString(response.getEntity()) : ""));
	}

	void expectOk(String method, String address, String path, String body) throws IOException {
		Response response = send(method, address, path, Map.of(), body);
		if (response.status() != OK) {
			throw new IOException(method + " " + address + path + " failed with status " + response.status() + ": "
					+ response.body());
		}
	}

	@Override
	public void close() throws IOException {
		this.client.close();
	}

	/**
	 * An HTTP response.
	 *
	 * @param status the HTTP status code
	 * @param body the body as text, empty if there is none
	 */
	record Response(int status, String body) {
	}

}
