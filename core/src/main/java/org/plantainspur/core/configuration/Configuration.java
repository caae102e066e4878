package org.plantainspur.core.configuration;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.membership.Membership;

/**
 * The immutable state that results from all changes up to a sequence number. Applying a
 * change returns a new configuration: <pre>
 * Configuration next = configuration.apply(entry);
 * </pre>
 */
public final class Configuration {

	private static final Configuration EMPTY = new Configuration(0, Map.of(), Map.of(), Map.of(), Map.of(),
			Membership.empty(), Map.of());

	private final long sequence;

	private final Map<String, ClientAccount> accounts;

	private final Map<String, String> accountsByKeyHash;

	private final Map<String, Route> routes;

	private final Map<String, ServicePolicy> services;

	private final Membership membership;

	private final Map<String, Long> versions;

	private Configuration(long sequence, Map<String, ClientAccount> accounts, Map<String, String> accountsByKeyHash,
			Map<String, Route> routes, Map<String, ServicePolicy> services, Membership membership,
			Map<String, Long> versions) {
		this.sequence = sequence;
		this.accounts = accounts;
		this.accountsByKeyHash = accountsByKeyHash;
		this.routes = routes;
		this.services = services;
		this.membership = membership;
		this.versions = versions;
	}

	/**
	 * Returns the configuration before the first change.
	 * @return an empty configuration with sequence number 0
	 */
	public static Configuration empty() {
		return EMPTY;
	}

	/**
	 * Creates a configuration from a stored or received state.
	 * @param state the state, as returned by {@link #state()}
	 * @return the configuration
	 */
	public static Configuration restore(ConfigurationState state) {
		Map<String, ClientAccount> accounts = new HashMap<>();
		state.accounts().forEach((account) -> accounts.put(account.id(), account));
		Map<String, Route> routes = new HashMap<>();
		state.routes().forEach((route) -> routes.put(route.id(), route));
		Map<String, ServicePolicy> services = new HashMap<>();
		state.services().forEach((policy) -> services.put(policy.service(), policy));
		return new Configuration(state.sequence(), Map.copyOf(accounts), state.accountsByKeyHash(), Map.copyOf(routes),
				Map.copyOf(services), Membership.restore(state.membership()), state.versions());
	}

	/**
	 * Returns the content of this configuration as a value that can be stored or sent.
	 * @return the state
	 */
	public ConfigurationState state() {
		return new ConfigurationState(this.sequence, List.copyOf(this.accounts.values()), this.accountsByKeyHash,
				List.copyOf(this.routes.values()), List.copyOf(this.services.values()), this.membership.state(),
				this.versions);
	}

	/**
	 * Returns the sequence number of the last change applied.
	 * @return the sequence number
	 */
	public long sequence() {
		return this.sequence;
	}

	/**
	 * Returns a client account.
	 * @param accountId the account's name
	 * @return the account, or {@code null} if there is none
	 */
	public @Nullable ClientAccount account(String accountId) {
		return this.accounts.get(accountId);
	}

	/**
	 * Returns all client accounts.
	 * @return an unmodifiable collection
	 */
	public Collection<ClientAccount> accounts() {
		return this.accounts.values();
	}

	/**
	 * Returns the account that a key belongs to.
	 * @param keyHash the SHA-256 of the key in lower-case hexadecimal
	 * @return the account, or {@code null} if the key was never issued or is withdrawn
	 */
	public @Nullable ClientAccount accountOfKey(String keyHash) {
		String accountId = this.accountsByKeyHash.get(keyHash);
		return (accountId != null) ? this.accounts.get(accountId) : null;
	}

	/**
	 * Returns the hashes of the keys of an account.
	 * @param accountId the account's name
	 * @return the SHA-256 of each key in lower-case hexadecimal, in no particular order
	 */
	public Collection<String> keyHashes(String accountId) {
		return this.accountsByKeyHash.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().equals(accountId))
			.map(Map.Entry::getKey)
			.toList();
	}

	/**
	 * Returns all routes.
	 * @return an unmodifiable collection
	 */
	public Collection<Route> routes() {
		return this.routes.values();
	}

	/**
	 * Returns the policy of a service.
	 * @param service the service's name
	 * @return the policy, or the defaults if operators have set none
	 */
	public ServicePolicy service(String service) {
		ServicePolicy policy = this.services.get(service);
		return (policy != null) ? policy : ServicePolicy.defaults(service);
	}

	/**
	 * Returns the policies that operators have set.
	 * @return an unmodifiable collection
	 */
	public Collection<ServicePolicy> services() {
		return this.services.values();
	}

	/**
	 * Returns the members of the fleet.
	 * @return the membership as of this sequence number
	 */
	public Membership membership() {
		return this.membership;
	}

	/**
	 * Returns the version of an entity.
	 * @param entity an entity's name, as in {@link Change#entities()}
	 * @return the sequence number of the last change that wrote the entity, 0 if there is
	 * none
	 */
	public long version(String entity) {
		return this.versions.getOrDefault(entity, 0L);
	}

	/**
	 * Applies the next change.
	 * @param entry the entry whose sequence number follows that of this configuration
	 * @return the configuration with the change applied
	 * @throws IllegalArgumentException if the sequence number of the entry is not the
	 * next one
	 */
	public Configuration apply(ChangeEntry entry) {
		if (entry.sequence() != this.sequence + 1) {
			throw new IllegalArgumentException("change " + entry.sequence() + " does not follow " + this.sequence
					+ "; read the changes after " + this.sequence);
		}
		return new Draft(this).apply(entry);
	}

	/**
	 * Builds the next configuration. It copies only the maps that the change writes.
	 */
	private static final class Draft {

		private Map<String, ClientAccount> accounts;

		private Map<String, String> accountsByKeyHash;

		private Map<String, Route> routes;

		private Map<String, ServicePolicy> services;

		private Membership membership;

		private final Map<String, Long> versions;

		Draft(Configuration base) {
			this.accounts = base.accounts;
			this.accountsByKeyHash = base.accountsByKeyHash;
			this.routes = base.routes;
			this.services = base.services;
			this.membership = base.membership;
			this.versions = new HashMap<>(base.versions);
		}

		Configuration apply(ChangeEntry entry) {
			Change change = entry.change();
			change.entities().forEach((entity) -> this.versions.put(entity, entry.sequence()));
			write(change, entry.sequence());
			return new Configuration(entry.sequence(), Map.copyOf(this.accounts), Map.copyOf(this.accountsByKeyHash),
					Map.copyOf(this.routes), Map.copyOf(this.services), this.membership, Map.copyOf(this.versions));
		}

		private void write(Change change, long sequence) {
			if (change instanceof Change.PutAccount put) {
				this.accounts = with(this.accounts, put.account().id(), put.account());
			}
			else if (change instanceof Change.RemoveAccount remove) {
				this.accounts = without(this.accounts, remove.accountId());
				this.accountsByKeyHash = new HashMap<>(this.accountsByKeyHash);
				this.accountsByKeyHash.values().removeIf(remove.accountId()::equals);
			}
			else if (change instanceof Change.IssueKey issue) {
				this.accountsByKeyHash = with(this.accountsByKeyHash, issue.keyHash(), issue.accountId());
			}
			else if (change instanceof Change.WithdrawKey withdraw) {
				this.accountsByKeyHash = without(this.accountsByKeyHash, withdraw.keyHash());
			}
			else if (change instanceof Change.PutRoute put) {
				this.routes = with(this.routes, put.route().id(), put.route());
			}
			else if (change instanceof Change.RemoveRoute remove) {
				this.routes = without(this.routes, remove.routeId());
			}
			else if (change instanceof Change.PutService put) {
				this.services = with(this.services, put.policy().service(), put.policy());
			}
			else if (change instanceof Change.ApplySheet sheet) {
				this.services = withAll(this.services, sheet.services(), ServicePolicy::service);
				this.accounts = withAll(this.accounts, sheet.accounts(), ClientAccount::id);
			}
			else {
				this.membership = this.membership.apply(change, sequence);
			}
		}

		private static <V> Map<String, V> with(Map<String, V> map, String key, V value) {
			Map<String, V> copy = new HashMap<>(map);
			copy.put(key, value);
			return copy;
		}

		// Copies the map once for all values, since a sheet may have a line for each
		// account.
		private static <V> Map<String, V> withAll(Map<String, V> map, Collection<V> values, Function<V, String> key) {
			Map<String, V> copy = new HashMap<>(map);
			values.forEach((value) -> copy.put(key.apply(value), value));
			return copy;
		}

		private static <V> Map<String, V> without(Map<String, V> map, String key) {
			Map<String, V> copy = new HashMap<>(map);
			copy.remove(key);
			return copy;
		}

	}

}
