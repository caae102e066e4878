package org.plantainspur.host;

import java.io.IOException;

import jakarta.servlet.http.HttpServlet;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;

import org.plantainspur.adapters.metrics.HostMetrics;

/**
 * Serves the metrics in the text format of Prometheus on the admin port.
 */
final class MetricsServlet extends HttpServlet {

	private static final long serialVersionUID = 1L;

	private final transient HostMetrics metrics;

	MetricsServlet(HostMetrics metrics) {
		this.metrics = metrics;
	}

	@Override
	protected void doGet(HttpServletRequest request, HttpServletResponse response) throws IOException {
		response.setContentType("text/plain; version=0.0.4; charset=utf-8");
		response.getWriter().write(this.metrics.scrape());
	}

}
