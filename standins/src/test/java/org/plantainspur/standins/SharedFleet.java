package org.plantainspur.standins;

import java.io.IOException;

import org.junit.jupiter.api.extension.AfterEachCallback;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.ParameterContext;
import org.junit.jupiter.api.extension.ParameterResolver;

/**
 * Gives tests one running fleet for the whole test run, since starting one takes longer
 * than most tests. After each test every fault is removed; a fleet that does not become
 * ready again is ended, so that later tests get a new one.
 */
final class SharedFleet implements ParameterResolver, AfterEachCallback {

	private static final String KEY = "fleet";

	@Override
	public boolean supportsParameter(ParameterContext parameter, ExtensionContext context) {
		return parameter.getParameter().getType() == TestFleet.class;
	}

	@Override
	public Object resolveParameter(ParameterContext parameter, ExtensionContext context) {
		return store(context).getOrComputeIfAbsent(KEY, (key) -> start(), Running.class).fleet();
	}

	private static Running start() {
		try {
			return new Running(new TestFleet());
		}
		catch (Exception ex) {
			throw new IllegalStateException("the fleet did not start", ex);
		}
	}

	@Override
	public void afterEach(ExtensionContext context) throws Exception {
		Running running = store(context).get(KEY, Running.class);
		if (running == null) {
			return;
		}
		try {
			running.fleet().restore();
		}
		catch (Exception | AssertionError ex) {
			store(context).remove(KEY);
			running.close();
			throw ex;
		}
	}

	private static ExtensionContext.Store store(ExtensionContext context) {
		return context.getRoot().getStore(ExtensionContext.Namespace.create(SharedFleet.class));
	}

	private record Running(TestFleet fleet) implements ExtensionContext.Store.CloseableResource {

		@Override
		public void close() throws IOException {
			this.fleet.close();
		}

	}

}
