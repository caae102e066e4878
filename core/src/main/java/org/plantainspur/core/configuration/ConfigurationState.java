package org.plantainspur.core.configuration;

import java.util.List;
import java.util.Map;

import org.plantainspur.core.membership.Membership;

/**
 * The content of a {@link Configuration} as a value that can be stored or sent.
 *
 * @param sequence the sequence number of the last change applied
 * @param accounts the client accounts
 * @param accountsByKeyHash the name of the account of each key, by the SHA-256 of the key
 * in lower-case hexadecimal
 * @param routes the routes
 * @param services the policies of services for which operators have set one
 * @param membership the members
 * @param versions the sequence number of the last change of each entity, by the name of
 * the entity
 */
public record ConfigurationState(long sequence, List<ClientAccount> accounts, Map<String, String> accountsByKeyHash,
		List<Route> routes, List<ServicePolicy> services, Membership.State membership, Map<String, Long> versions) {

	public ConfigurationState {
		accounts = List.copyOf(accounts);
		accountsByKeyHash = Map.copyOf(accountsByKeyHash);
		routes = List.copyOf(routes);
		services = List.copyOf(services);
		versions = Map.copyOf(versions);
	}

}
