package org.plantainspur.host;

import jakarta.servlet.http.HttpServlet;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;

/**
 * Makes this host read the platform at once after {@code POST /nudge} on the admin port.
 * The request names no sequence number, so it can make a host believe nothing.
 */
final class NudgeServlet extends HttpServlet {

	private static final long serialVersionUID = 1L;

	private final transient ConfigurationUpdates updates;

	NudgeServlet(ConfigurationUpdates updates) {
		this.updates = updates;
	}

	@Override
	protected void doPost(HttpServletRequest request, HttpServletResponse response) {
		this.updates.pollSoon();
		response.setStatus(HttpServletResponse.SC_NO_CONTENT);
	}

}
