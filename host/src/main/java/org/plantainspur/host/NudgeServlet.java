package org.plantainspur.host;

import jakarta.servlet.http.HttpServlet;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;

/**
 * Makes this host read the platform at once on {@code POST /nudge} at the admin port. The
 * request carries no sequence number, so that its sender cannot make the host believe
 * that a newer configuration exists.
 */
final class NudgeServlet extends HttpServlet {

	private static final long serialVersionUID = 1L;

	private final transient ConfigurationPoller configurationPoller;

	NudgeServlet(ConfigurationPoller configurationPoller) {
		this.configurationPoller = configurationPoller;
	}

	@Override
	protected void doPost(HttpServletRequest request, HttpServletResponse response) {
		this.configurationPoller.pollSoon();
		response.setStatus(HttpServletResponse.SC_NO_CONTENT);
	}

}
