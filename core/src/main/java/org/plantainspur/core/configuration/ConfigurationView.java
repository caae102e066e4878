package org.plantainspur.core.configuration;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

/**
 * Holds the configuration in force at this host. A request reads it once; writers replace
 * it as a whole. Its sequence number never decreases.
 */
public final class ConfigurationView {

	private final AtomicReference<Configuration> current = new AtomicReference<>(Configuration.empty());

	private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();

	/**
	 * Returns the configuration in force.
	 * @return the configuration, which is immutable
	 */
	public Configuration current() {
		return this.current.get();
	}

	/**
	 * Replaces the configuration in force if the given one is newer.
	 * @param configuration the configuration to put in force
	 * @return {@code true} if the given configuration was newer and is now in force
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
	 * Registers a listener that is called after each replacement, on the thread that
	 * calls {@link #advance}.
	 * @param listener receives the new configuration
	 */
	public void addListener(Consumer<Configuration> listener) {
		this.listeners.add(listener);
	}

}
