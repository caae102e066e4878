package org.plantainspur.standins;

import java.io.IOException;

import org.junit.jupiter.api.extension.AfterEachCallback;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.ParameterContext;
import org.junit.jupiter.api.extension.ParameterResolver;

/**
 * Provides one running fleet for all tests of a run, because starting a fleet takes
 * longer than most tests. After each test every fault is removed. A fleet that does not
 * become ready again is closed, so that later tests get a new one.
 */
final class SharedFleetExtension implements ParameterResolver, AfterEachCallback {

	private static final String STORE_KEY = "fleet";

	@Override
	public boolean supportsParameter(ParameterContext parameter, ExtensionContext context) {
		return parameter.getParameter().getType() == TestFleet.class;
	}

	@Override
	public Object resolveParameter(ParameterContext parameter, ExtensionContext context) {
		return store(context).getOrComputeIfAbsent(STORE_KEY, (key) -> start(), FleetResource.class).fleet();
	}

	private static FleetResource start() {
		try {
			return new FleetResource(new TestFleet());
		}
		catch (Exception ex) {
			throw new IllegalStateException("the fleet did not start", ex);
		}
	}

	@Override
	public void afterEach(ExtensionContext context) throws Exception {
		FleetResource resource = store(context).get(STORE_KEY, FleetResource.class);
		if (resource == null) {
			return;
		}
		try {
			resource.fleet().restore();
		}
		catch (Exception | AssertionError ex) {
			store(context).remove(STORE_KEY);
			resource.close();
			throw ex;
		}
	}

	private static ExtensionContext.Store store(ExtensionContext context) {
		return context.getRoot().getStore(ExtensionContext.Namespace.create(SharedFleetExtension.class));
	}

	private record FleetResource(TestFleet fleet) implements ExtensionContext.Store.CloseableResource {

		@Override
		public void close() throws IOException {
			this.fleet.close();
		}

	}

}
