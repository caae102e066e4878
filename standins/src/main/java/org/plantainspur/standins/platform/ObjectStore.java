package org.plantainspur.standins.platform;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.plantainspur.standins.http.BadRequestException;
import org.plantainspur.standins.http.Request;
import org.plantainspur.standins.http.Response;

/**
 * Serves objects by name from memory.
 */
final class ObjectStore {

	/** The prefix of the paths of objects. */
	static final String PREFIX = "/objects/";

	private final Map<String, byte[]> objects = new ConcurrentHashMap<>();

	Response serve(Request request) {
		String name = request.path().substring(PREFIX.length());
		if (name.isEmpty()) {
			throw new BadRequestException("the path " + request.path() + " names no object");
		}
		if (request.method().equals("PUT")) {
			this.objects.put(name, request.body());
			return Response.text(Response.OK, "");
		}
		byte[] content = this.objects.get(name);
		if (content == null) {
			return Response.error(Response.NOT_FOUND, "there is no object " + name);
		}
		return new Response(Response.OK, Map.of("Content-Type", "application/octet-stream"), content);
	}

}
