package org.plantainspur.host;

import java.io.IOException;
import java.util.Map;

import com.fasterxml.jackson.databind.ObjectMapper;
import jakarta.servlet.http.HttpServlet;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;

/**
 * Answers operators on the admin port: {@code /status}, {@code /explain/target/<id>} and
 * {@code /explain/account/<id>}.
 */
final class StatusServlet extends HttpServlet {

	private static final long serialVersionUID = 1L;

	private static final String EXPLAIN_TARGET_PATH = "/explain/target/";

	private static final String EXPLAIN_ACCOUNT_PATH = "/explain/account/";

	private final transient StatusReport report;

	private final transient ObjectMapper mapper = new ObjectMapper();

	StatusServlet(StatusReport report) {
		this.report = report;
	}

	@Override
	protected void doGet(HttpServletRequest request, HttpServletResponse response) throws IOException {
		Map<String, Object> fields = fields(request.getRequestURI());
		if (fields.isEmpty()) {
			response.setStatus(HttpServletResponse.SC_NOT_FOUND);
			fields = Map.of("error", "this host knows no target or account at " + request.getRequestURI());
		}
		response.setContentType("application/json");
		this.mapper.writeValue(response.getOutputStream(), fields);
	}

	private Map<String, Object> fields(String path) {
		if (path.equals("/status")) {
			return this.report.status();
		}
		if (path.startsWith(EXPLAIN_TARGET_PATH)) {
			return this.report.explainTarget(path.substring(EXPLAIN_TARGET_PATH.length()));
		}
		return path.startsWith(EXPLAIN_ACCOUNT_PATH)
				? this.report.explainAccount(path.substring(EXPLAIN_ACCOUNT_PATH.length())) : Map.of();
	}

}
