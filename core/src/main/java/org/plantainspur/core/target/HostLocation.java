package org.plantainspur.core.target;

import java.util.Map;

/**
 * The location of this host among the failure domains and regions.
 *
 * @param failureDomain the name of the host's failure domain
 * @param regions maps the name of each failure domain to the name of its region
 */
public record HostLocation(String failureDomain, Map<String, String> regions) {

	public HostLocation {
		regions = Map.copyOf(regions);
	}

	/**
	 * Returns how far another failure domain is from this host.
	 * @param other the name of the other failure domain
	 * @return the distance class; {@link Distance#OTHER_REGION} for an unknown failure
	 * domain
	 */
	public Distance distanceTo(String other) {
		if (this.failureDomain.equals(other)) {
			return Distance.SAME_DOMAIN;
		}
		String region = this.regions.getOrDefault(this.failureDomain, "");
		return region.equals(this.regions.get(other)) ? Distance.SAME_REGION : Distance.OTHER_REGION;
	}

	/**
	 * The distance between two failure domains.
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
