package org.plantainspur.adapters.http;

import java.util.concurrent.TimeoutException;

import jakarta.ws.rs.WebApplicationException;
import jakarta.ws.rs.core.Response;
import jakarta.ws.rs.ext.ExceptionMapper;
import jakarta.ws.rs.ext.Provider;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.io.EofException;

import org.plantainspur.adapters.log.Event;
import org.plantainspur.core.request.Problem;

/**
 * Maps every exception thrown by a resource to a problem document.
 */
@Provider
public final class ProblemExceptionMapper implements ExceptionMapper<Throwable> {

	private static final Logger logger = LogManager.getLogger(ProblemExceptionMapper.class);

	private static final int INTERNAL_ERROR = 500;

	@Override
	public Response toResponse(Throwable exception) {
		int status = status(exception);
		Problem problem = (exception instanceof UnreadableBodyException)
				? Problem.notRun(ProblemDocument.ofStatus(status).code(), "the request could not be read completely")
				: ProblemDocument.ofStatus(status);
		if (status >= INTERNAL_ERROR) {
			logger.error(Event.named("request-failed"), exception);
		}
		return Response.status(status)
			.type(ProblemDocument.MEDIA_TYPE)
			.entity(ProblemDocument.encode(problem, status))
			.build();
	}

	private static int status(Throwable exception) {
		if (exception instanceof WebApplicationException web) {
			return web.getResponse().getStatus();
		}
		if (!(exception instanceof UnreadableBodyException)) {
			return INTERNAL_ERROR;
		}
		for (Throwable cause = exception; cause != null; cause = cause.getCause()) {
			if (cause instanceof HttpException http) {
				return http.getCode();
			}
			if (cause instanceof TimeoutException) {
				return Problem.Code.REQUEST_TIMEOUT.status();
			}
			if (cause instanceof EofException) {
				break;
			}
		}
		return Problem.Code.BAD_REQUEST.status();
	}

	/**
	 * Thrown if the body of a request cannot be read. The request has not been
	 * dispatched.
	 */
	static final class UnreadableBodyException extends RuntimeException {

		private static final long serialVersionUID = 1L;

		UnreadableBodyException(Throwable cause) {
			super(cause);
		}

	}

}
