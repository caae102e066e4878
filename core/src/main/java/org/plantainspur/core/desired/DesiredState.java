package org.plantainspur.core.desired;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * One version of the operators' configuration: routes, services, accounts and limits.
 * Immutable. For example
 * {@code DesiredState.builder(12).route(route).account(account, List.of("key")).build()}.
 */
public final class DesiredState {

	/** In force until the first version has been read; no route matches. */
	public static final DesiredState NONE = builder(-1).build();

	private final long version;

	private final Map<String, List<RouteRule>> routes;

	private final Map<String, ServiceRule> services;

	private final Map<String, AccountRule> accounts;

	private final Map<String, AccountRule> accountsByKey;

	private final boolean requiresKeys;

	private final CallerLimits limits;

	private DesiredState(Builder builder) {
		this.version = builder.version;
		this.services = Map.copyOf(builder.services);
		this.accounts = Map.copyOf(builder.accounts);
		this.accountsByKey = Map.copyOf(builder.accountsByKey);
		this.requiresKeys = builder.requiresKeys;
		this.limits = builder.limits;
		Map<String, List<RouteRule>> sorted = new HashMap<>();
		Comparator<RouteRule> longestFirst = Comparator.comparingInt((RouteRule route) -> -route.prefix().length());
		builder.routes.forEach((host, list) -> sorted.put(host, list.stream().sorted(longestFirst).toList()));
		this.routes = Map.copyOf(sorted);
	}

	/**
	 * Returns a builder.
	 * @param version the version of the state; a larger one is newer
	 * @return a builder without routes, services and accounts
	 */
	public static Builder builder(long version) {
		return new Builder(version);
	}

	/**
	 * Returns the version of this state.
	 * @return the version, -1 for {@link #NONE}
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns whether this state is a version that has been read.
	 * @return {@code false} for {@link #NONE}
	 */
	public boolean isLoaded() {
		return this.version >= 0;
	}

	/**
	 * Returns the route with the longest matching prefix.
	 * @param host the value of the Host header, in any case, with or without a port
	 * @param path the request's path, with or without a query
	 * @return the route, or {@code null} if none matches
	 */
	public @Nullable RouteRule route(String host, String path) {
		List<RouteRule> candidates = this.routes.get(hostName(host));
		if (candidates == null) {
			return null;
		}
		for (RouteRule route : candidates) {
			if (path.startsWith(route.prefix())) {
				return route;
			}
		}
		return null;
	}

	private static String hostName(String host) {
		int colon = host.indexOf(':');
		return ((colon < 0) ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
	}

	/**
	 * Returns the account that owns a key.
	 * @param key the key as the caller sent it
	 * @return the account, or {@code null} if no account owns the key
	 */
	public @Nullable AccountRule accountOfKey(String key) {
		return this.accountsByKey.get(key);
	}

	/**
	 * Returns all accounts.
	 * @return an unmodifiable map from the account's name to the account
	 */
	public Map<String, AccountRule> accounts() {
		return this.accounts;
	}

	/**
	 * Returns whether requests on routes that are not open need a key.
	 * @return {@code true} if the state lists accounts, even if there are none
	 */
	public boolean requiresKeys() {
		return this.requiresKeys;
	}

	/**
	 * Returns the service with a name.
	 * @param name the service's name
	 * @return the service, or {@code null} if the state has none of this name
	 */
	public @Nullable ServiceRule service(String name) {
		return this.services.get(name);
	}

	/**
	 * Returns the limits on callers' requests.
	 * @return the limits on sizes and durations
	 */
	public CallerLimits limits() {
		return this.limits;
	}

	/**
	 * Builds a {@link DesiredState}.
	 */
	public static final class Builder {

		private final long version;

		private final Map<String, List<RouteRule>> routes = new HashMap<>();

		private final Map<String, ServiceRule> services = new HashMap<>();

		private final Map<String, AccountRule> accounts = new HashMap<>();

		private final Map<String, AccountRule> accountsByKey = new HashMap<>();

		private boolean requiresKeys;

		private CallerLimits limits = CallerLimits.DEFAULT;

		private Builder(long version) {
			this.version = version;
		}

		/**
		 * Adds a route under the host name of its rule.
		 * @param route the route
		 * @return this builder
		 */
		public Builder route(RouteRule route) {
			this.routes.computeIfAbsent(hostName(route.host()), (host) -> new ArrayList<>()).add(route);
			return this;
		}

		/**
		 * Adds a service, or replaces the one of the same name.
		 * @param service the service
		 * @return this builder
		 */
		public Builder service(ServiceRule service) {
			this.services.put(service.name(), service);
			return this;
		}

		/**
		 * Requires a key on all routes that are not open, although the state may have no
		 * account: then no request may run there. Adding an account implies this.
		 * @return this builder
		 */
		public Builder requireKeys() {
			this.requiresKeys = true;
			return this;
		}

		/**
		 * Adds an account with its keys, or replaces the one of the same name.
		 * @param account the account
		 * @param keys the account's keys as callers send them
		 * @return this builder
		 */
		public Builder account(AccountRule account, List<String> keys) {
			this.accounts.put(account.name(), account);
			keys.forEach((key) -> this.accountsByKey.put(key, account));
			return requireKeys();
		}

		/**
		 * Sets the limits on callers' requests; the default is
		 * {@link CallerLimits#DEFAULT}.
		 * @param limits the limits
		 * @return this builder
		 */
		public Builder limits(CallerLimits limits) {
			this.limits = limits;
			return this;
		}

		/**
		 * Builds the state.
		 * @return the state
		 */
		public DesiredState build() {
			return new DesiredState(this);
		}

	}

}
