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
 * Passes every caller request that no other resource matches to the request pipeline.
 */
@Path("/{path: .*}")
public final class CallerResource {

	/** Maximum size of a request body, in bytes. */
	static final int MAXIMUM_BODY_BYTES = 1024 * 1024;

	/**
	 * Response headers that the HTTP server sets itself; a target's values are dropped.
	 */
	private static final Set<String> SERVER_MANAGED_HEADERS = Set.of("connection", "keep-alive", "transfer-encoding",
			"content-length", "date", "server");

	private static final long MILLIS_PER_SECOND = 1000;

	private final RequestPipeline pipeline;

	private final Clock clock;

	private final ShutdownSignal shutdownSignal;

	private final BodyReader bodyReader;

	/**
	 * Creates the resource.
	 * @param pipeline processes the requests
	 * @param clock the process clock
	 * @param shutdownSignal whether the host is about to stop
	 * @param bodyReader reads the request bodies
	 */
	@Inject
	public CallerResource(RequestPipeline pipeline, Clock clock, ShutdownSignal shutdownSignal, BodyReader bodyReader) {
		this.pipeline = pipeline;
		this.clock = clock;
		this.shutdownSignal = shutdownSignal;
		this.bodyReader = bodyReader;
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
		long receivedMillis = this.clock.millis();
		byte[] body = readBody(request);
		if (body.length > MAXIMUM_BODY_BYTES) {
			return response(
					Problem.notRun(Problem.Code.TOO_LARGE, "the body is larger than " + MAXIMUM_BODY_BYTES + " bytes")
						.toRefusal());
		}
		URI uri = request.getUriInfo().getRequestUri();
		String query = uri.getRawQuery();
		PresentedKey key = PresentedKey.of(request.getHeaders());
		if (key.isInUriPart(uri.getRawPath()) || key.isInUriPart(query) || key.isIn(body)) {
			return response(Problem.notRun(Problem.Code.BAD_REQUEST,
					"the path, the query or the body contains the API key, which must not reach a target; send it only in "
							+ Headers.API_KEY)
				.toRefusal());
		}
		return response(this.pipeline.serve(new CallerRequest(request.getMethod(), uri.getRawPath(),
				(query != null) ? query : "", key.without(request.getHeaders()), body, key.hash(), receivedMillis)));
	}

	private byte[] readBody(ContainerRequestContext request) {
		try {
			return this.bodyReader.read(request.getEntityStream(), MAXIMUM_BODY_BYTES + 1);
		}
		catch (IOException | TimeoutException | RuntimeException ex) {
			throw new ProblemExceptionMapper.UnreadableBodyException(ex);
		}
	}

	private Response response(CallerAnswer answer) {
		Response.ResponseBuilder builder = builder(answer);
		if (this.shutdownSignal.stopping()) {
			// The shutdown may have begun after AccountLimitHandler checked the signal.
			builder.header("Connection", "close");
		}
		return builder.build();
	}

	private static Response.ResponseBuilder builder(CallerAnswer answer) {
		if (answer instanceof CallerAnswer.Answered answered) {
			Response.ResponseBuilder builder = Response.status(answered.status());
			for (Headers.Field field : answered.headers().fields()) {
				if (!SERVER_MANAGED_HEADERS.contains(field.name().toLowerCase(Locale.ROOT))) {
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
