package org.plantainspur.core.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import org.plantainspur.core.membership.Membership;

/**
 * Splits a configuration state into parts that fit into a message, and joins them again.
 */
public final class ConfigurationParts {

	/**
	 * The maximum number of entities in a part. An account, its key and their versions
	 * are 4 entities of about 60 bytes each, so a part has about 0.3 MB; a message may
	 * have up to 4 MiB.
	 */
	static final int ENTITIES_PER_PART = 5000;

	private ConfigurationParts() {
	}

	/**
	 * Splits a state into parts.
	 * @param state the state
	 * @return the parts in order, at least one
	 */
	public static List<ConfigurationPart> split(ConfigurationState state) {
		int entities = state.accounts().size() + state.accountsByKeyHash().size() + state.routes().size()
				+ state.services().size() + state.versions().size();
		int count = Math.max(1, (entities + ENTITIES_PER_PART - 1) / ENTITIES_PER_PART);
		List<Map.Entry<String, String>> keys = List.copyOf(state.accountsByKeyHash().entrySet());
		List<Map.Entry<String, Long>> versions = List.copyOf(state.versions().entrySet());
		return IntStream.range(0, count).mapToObj((number) -> {
			Membership.State membership = (number == 0) ? state.membership() : Membership.empty().state();
			return new ConfigurationPart(number, count,
					new ConfigurationState(state.sequence(), slice(state.accounts(), number, count),
							toMap(slice(keys, number, count)), slice(state.routes(), number, count),
							slice(state.services(), number, count), membership, toMap(slice(versions, number, count))));
		}).toList();
	}

	/**
	 * Joins the parts of a state.
	 * @param parts all parts of one state, in the order of their numbers
	 * @return the complete state
	 */
	public static ConfigurationState join(List<ConfigurationPart> parts) {
		ConfigurationState first = parts.get(0).content();
		List<ClientAccount> accounts = new ArrayList<>();
		Map<String, String> accountsByKeyHash = new HashMap<>();
		List<Route> routes = new ArrayList<>();
		List<ServicePolicy> services = new ArrayList<>();
		Map<String, Long> versions = new HashMap<>();
		for (ConfigurationPart part : parts) {
			ConfigurationState content = part.content();
			accounts.addAll(content.accounts());
			accountsByKeyHash.putAll(content.accountsByKeyHash());
			routes.addAll(content.routes());
			services.addAll(content.services());
			versions.putAll(content.versions());
		}
		return new ConfigurationState(first.sequence(), accounts, accountsByKeyHash, routes, services,
				first.membership(), versions);
	}

	private static <T> List<T> slice(List<T> entities, int number, int count) {
		long size = entities.size();
		return entities.subList((int) (size * number / count), (int) (size * (number + 1) / count));
	}

	private static <T> Map<String, T> toMap(List<Map.Entry<String, T>> entries) {
		Map<String, T> map = new HashMap<>();
		entries.forEach((entry) -> map.put(entry.getKey(), entry.getValue()));
		return map;
	}

}
