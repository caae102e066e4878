package org.plantainspur.core.target;

import java.util.Map;

/**
 * Where this host stands among the failure domains.
 *
 * @param failureDomain the host's failure domain
 * @param regions the region of each failure domain
 */
public record Place(String failureDomain, Map<String, String> regions) {

	public Place {
		regions = Map.copyOf(regions);
	}

	/**
	 * Returns how far another failure domain is.
	 * @param other the failure domain
	 * @return the distance
	 */
	public Distance to(String other) {
		if (this.failureDomain.equals(other)) {
			return Distance.SAME_DOMAIN;
		}
		String here = this.regions.getOrDefault(this.failureDomain, "");
		return here.equals(this.regions.get(other)) ? Distance.SAME_REGION : Distance.OTHER_REGION;
	}

	/**
	 * How far two failure domains are from each other.
	 */
	public enum Distance {

		/** The same failure domain. */
		SAME_DOMAIN,

		/** Another failure domain of the same region. */
		SAME_REGION,

		/** Another region. */
		OTHER_REGION

	}

}
