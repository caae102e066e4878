package org.plantainspur.core.configuration;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

/**
 * The configuration in force at this host. Readers load it once for each request; a
 * writer replaces it as a whole. Its sequence number never goes back.
 */
public final class ConfigurationView {

	private final AtomicReference<Configuration> current = new AtomicReference<>(Configuration.empty());

	private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();

	/**
	 * Returns the configuration in force.
	 * @return an immutable snapshot
	 */
	public Configuration current() {
		return this.current.get();
	}

	/**
	 * Puts a configuration in force if it is newer.
	 * @param configuration the configuration
	 * @return whether it was newer than the one in force
	 */
	public boolean advance(Configuration configuration) {
		Configuration before = this.current
			.getAndUpdate((old) -> (configuration.sequence() > old.sequence()) ? configuration : old);
		if (configuration.sequence() <= before.sequence()) {
			return false;
		}
		this.listeners.forEach((listener) -> listener.accept(configuration));
		return true;
	}

	/**
	 * Registers a listener that is called after each advance, on the advancing thread.
	 * @param listener the listener
	 */
	public void listen(Consumer<Configuration> listener) {
		this.listeners.add(listener);
	}

}
