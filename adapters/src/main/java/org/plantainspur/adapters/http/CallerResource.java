package org.plantainspur.adapters.http;

import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import jakarta.inject.Inject;
import jakarta.ws.rs.DELETE;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.HEAD;
import jakarta.ws.rs.OPTIONS;
import jakarta.ws.rs.PATCH;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.PUT;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.core.Context;
import jakarta.ws.rs.core.HttpHeaders;
import jakarta.ws.rs.core.Response;
import jakarta.ws.rs.core.UriInfo;

import org.plantainspur.core.request.CallerAnswer;
import org.plantainspur.core.request.CallerRequest;
import org.plantainspur.core.request.Headers;
import org.plantainspur.core.request.Problem;
import org.plantainspur.core.request.RequestPipeline;
import org.plantainspur.core.time.Clock;

/**
 * Takes the callers' requests.
 */
@Path("/{path: .*}")
public final class CallerResource {

	/** The largest request body in bytes. */
	static final int MAXIMUM_BODY_BYTES = 1024 * 1024;

	private static final Set<String> SET_BY_THE_SERVER = Set.of("connection", "keep-alive", "transfer-encoding",
			"content-length", "date", "server");

	private static final long MILLIS_PER_SECOND = 1000;

	private final RequestPipeline pipeline;

	private final Clock clock;

	/**
	 * Creates the resource.
	 * @param pipeline serves the requests
	 * @param clock the process clock
	 */
	@Inject
	public CallerResource(RequestPipeline pipeline, Clock clock) {
		this.pipeline = pipeline;
		this.clock = clock;
	}

	@GET
	public Response get(@Context UriInfo uri, @Context HttpHeaders headers, InputStream body) throws IOException {
		return serve("GET", uri, headers, body);
	}

	@HEAD
	public Response head(@Context UriInfo uri, @Context HttpHeaders headers, InputStream body) throws IOException {
		return serve("HEAD", uri, headers, body);
	}

	@POST
	public Response post(@Context UriInfo uri, @Context HttpHeaders headers, InputStream body) throws IOException {
		return serve("POST", uri, headers, body);
	}

	@PUT
	public Response put(@Context UriInfo uri, @Context HttpHeaders headers, InputStream body) throws IOException {
		return serve("PUT", uri, headers, body);
	}

	@PATCH
	public Response patch(@Context UriInfo uri, @Context HttpHeaders headers, InputStream body) throws IOException {
		return serve("PATCH", uri, headers, body);
	}

	@DELETE
	public Response delete(@Context UriInfo uri, @Context HttpHeaders headers, InputStream body) throws IOException {
		return serve("DELETE", uri, headers, body);
	}

	@OPTIONS
	public Response options(@Context UriInfo uri, @Context HttpHeaders headers, InputStream body) throws IOException {
		return serve("OPTIONS", uri, headers, body);
	}

	private Response serve(String method, UriInfo uri, HttpHeaders headers, InputStream body) throws IOException {
		long received = this.clock.millis();
		byte[] content = body.readNBytes(MAXIMUM_BODY_BYTES + 1);
		if (content.length > MAXIMUM_BODY_BYTES) {
			return response(
					Problem.notRun(Problem.Code.TOO_LARGE, "the body is larger than " + MAXIMUM_BODY_BYTES + " bytes")
						.refuse());
		}
		String query = uri.getRequestUri().getRawQuery();
		CallerRequest request = new CallerRequest(method, uri.getRequestUri().getRawPath(),
				(query != null) ? query : "", fields(headers), content, received);
		return response(this.pipeline.serve(request));
	}

	private static Headers fields(HttpHeaders headers) {
		Headers fields = Headers.empty();
		for (Map.Entry<String, List<String>> entry : headers.getRequestHeaders().entrySet()) {
			for (String value : entry.getValue()) {
				fields = fields.with(entry.getKey(), value);
			}
		}
		return fields;
	}

	private static Response response(CallerAnswer answer) {
		if (answer instanceof CallerAnswer.Answered answered) {
			Response.ResponseBuilder builder = Response.status(answered.status());
			for (Headers.Field field : answered.headers().fields()) {
				if (!SET_BY_THE_SERVER.contains(field.name().toLowerCase(Locale.ROOT))) {
					builder.header(field.name(), field.value());
				}
			}
			return builder.entity(answered.body()).build();
		}
		Problem problem = ((CallerAnswer.Refused) answer).problem();
		Response.ResponseBuilder builder = Response.status(problem.code().status())
			.type(ProblemDocument.MEDIA_TYPE)
			.entity(ProblemDocument.encode(problem));
		if (problem.retryAfterMillis() > 0) {
			builder.header("Retry-After",
					Math.max(1, (problem.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND));
		}
		return builder.build();
	}

}
