package org.plantainspur.adapters.http;

import java.io.IOException;
import java.net.URI;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeoutException;

import jakarta.inject.Inject;
import jakarta.ws.rs.DELETE;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.HEAD;
import jakarta.ws.rs.OPTIONS;
import jakarta.ws.rs.PATCH;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.PUT;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.container.ContainerRequestContext;
import jakarta.ws.rs.core.Context;
import jakarta.ws.rs.core.Response;

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

	private final StopSignal stopSignal;

	private final BodyReader bodies;

	/**
	 * Creates the resource.
	 * @param pipeline serves the requests
	 * @param clock the process clock
	 * @param stopSignal whether the host is about to stop
	 * @param bodies reads the requests' bodies
	 */
	@Inject
	public CallerResource(RequestPipeline pipeline, Clock clock, StopSignal stopSignal, BodyReader bodies) {
		this.pipeline = pipeline;
		this.clock = clock;
		this.stopSignal = stopSignal;
		this.bodies = bodies;
	}

	@GET
	public Response get(@Context ContainerRequestContext request) {
		return serve(request);
	}

	@HEAD
	public Response head(@Context ContainerRequestContext request) {
		return serve(request);
	}

	@POST
	public Response post(@Context ContainerRequestContext request) {
		return serve(request);
	}

	@PUT
	public Response put(@Context ContainerRequestContext request) {
		return serve(request);
	}

	@PATCH
	public Response patch(@Context ContainerRequestContext request) {
		return serve(request);
	}

	@DELETE
	public Response delete(@Context ContainerRequestContext request) {
		return serve(request);
	}

	@OPTIONS
	public Response options(@Context ContainerRequestContext request) {
		return serve(request);
	}

	private Response serve(ContainerRequestContext request) {
		long received = this.clock.millis();
		byte[] content = body(request);
		if (content.length > MAXIMUM_BODY_BYTES) {
			return response(
					Problem.notRun(Problem.Code.TOO_LARGE, "the body is larger than " + MAXIMUM_BODY_BYTES + " bytes")
						.toRefusal());
		}
		URI uri = request.getUriInfo().getRequestUri();
		String query = uri.getRawQuery();
		PresentedKey key = PresentedKey.of(request.getHeaders());
		if (key.isInEncoded(uri.getRawPath()) || key.isInEncoded(query) || key.isIn(content)) {
			return response(Problem
				.notRun(Problem.Code.BAD_REQUEST,
						"the path, the query or the body holds the key, which no target may see; send it only in "
								+ Headers.API_KEY)
				.toRefusal());
		}
		return response(this.pipeline.serve(new CallerRequest(request.getMethod(), uri.getRawPath(),
				(query != null) ? query : "", key.without(request.getHeaders()), content, key.hash(), received)));
	}

	private byte[] body(ContainerRequestContext request) {
		try {
			return this.bodies.read(request.getEntityStream(), MAXIMUM_BODY_BYTES + 1);
		}
		catch (IOException | TimeoutException | RuntimeException ex) {
			throw new ProblemExceptionMapper.CallerReadException(ex);
		}
	}

	private Response response(CallerAnswer answer) {
		Response.ResponseBuilder builder = builder(answer);
		if (this.stopSignal.stopping()) {
			// The stop may have begun after the request arrived.
			builder.header("Connection", "close");
		}
		return builder.build();
	}

	private static Response.ResponseBuilder builder(CallerAnswer answer) {
		if (answer instanceof CallerAnswer.Answered answered) {
			Response.ResponseBuilder builder = Response.status(answered.status());
			for (Headers.Field field : answered.headers().fields()) {
				if (!SET_BY_THE_SERVER.contains(field.name().toLowerCase(Locale.ROOT))) {
					builder.header(field.name(), field.value());
				}
			}
			return builder.entity(answered.body());
		}
		Problem problem = ((CallerAnswer.Refused) answer).problem();
		Response.ResponseBuilder builder = Response.status(problem.code().status())
			.type(ProblemDocument.MEDIA_TYPE)
			.entity(ProblemDocument.encode(problem));
		if (problem.retryAfterMillis() > 0) {
			builder.header("Retry-After",
					Math.max(1, (problem.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND));
		}
		return builder;
	}

}
