package org.plantainspur.host;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.appender.AbstractAppender;
import org.apache.logging.log4j.core.config.Configuration;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.config.Property;
import org.apache.logging.log4j.core.layout.PatternLayout;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against callers' keys and the fleet secret in the log, at any level.
 */
@Timeout(60)
class KeySecrecyTests {

	private final LogCapture logLines = new LogCapture();

	private RunningHost host;

	@BeforeEach
	void start() throws Exception {
		LoggerContext context = (LoggerContext) LogManager.getContext(false);
		Configuration configuration = context.getConfiguration();
		this.logLines.start();
		configuration.getRootLogger().addAppender(this.logLines, null, null);
		context.updateLoggers();
		Configurator.setLevel("org.plantainspur", Level.TRACE);
		Configurator.setLevel(LogManager.ROOT_LOGGER_NAME, Level.TRACE);
		this.host = new RunningHost((target, request, idempotent, timeout) -> {
			if (request.path().endsWith("fault")) {
				throw new IllegalStateException("thrown by the dispatcher of the test");
			}
			return RunningHost.ok();
		});
	}

	@AfterEach
	void stop() throws Exception {
		this.host.close();
		LoggerContext context = (LoggerContext) LogManager.getContext(false);
		context.getConfiguration().getRootLogger().removeAppender(this.logLines.getName());
		context.reconfigure();
	}

	@Nested
	class TraceLog {

		@Test
		void ofRequestsContainsNoKey() throws Exception {
			String keyed = " HTTP/1.1\r\nHost: x\r\nX-Api-Key: " + RunningHost.KEY + "\r\nConnection: close\r\n";
			for (String path : List.of("/booking", "/.plantainspur/locate", "/nothing", "/booking/fault",
					"/booking/%zz", "/booking?key=" + RunningHost.KEY)) {
				assertThat(KeySecrecyTests.this.host.exchange("GET " + path + keyed + "\r\n")).startsWith("HTTP/1.1 ");
			}
			KeySecrecyTests.this.host.exchange("GET /booking" + keyed + "b\u0001ad: " + RunningHost.KEY + "\r\n\r\n");
			KeySecrecyTests.this.host
				.exchange("GET /booking" + keyed + "X-Large: " + RunningHost.KEY.repeat(2000) + "\r\n\r\n");
			KeySecrecyTests.this.host
				.exchange("POST /booking" + keyed + "Idempotency-Key: x\r\nContent-Length: 0\r\n\r\n");
			assertThat(KeySecrecyTests.this.logLines.texts).isNotEmpty()
				.noneMatch((line) -> line.contains(RunningHost.KEY))
				.noneMatch((line) -> line.contains("a-fleet-secret-for-tests"));
		}

	}

	private static final class LogCapture extends AbstractAppender {

		private final List<String> texts = new CopyOnWriteArrayList<>();

		LogCapture() {
			super("lines", null, PatternLayout.newBuilder().withPattern("%p %c %m %throwable").build(), false,
					Property.EMPTY_ARRAY);
		}

		@Override
		public void append(LogEvent event) {
			this.texts.add(getLayout().toSerializable(event).toString());
		}

	}

}
