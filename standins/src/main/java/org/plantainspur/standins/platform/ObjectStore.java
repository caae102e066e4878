package org.plantainspur.standins.platform;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.plantainspur.standins.http.BadRequestException;
import org.plantainspur.standins.http.Request;
import org.plantainspur.standins.http.Response;

/**
 * Reads and writes named objects, which are held in memory.
 */
final class ObjectStore {

	/** The path prefix of all objects; the rest of the path is the name. */
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
