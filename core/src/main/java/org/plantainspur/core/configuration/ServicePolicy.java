package org.plantainspur.core.configuration;

/**
 * The settings of a service that operators can change.
 *
 * @param service the service's name
 * @param capacityFloor the fraction of the service's slots, 0 to 1, that must stay in use
 * when targets are ejected
 * @param headroom the fraction of the service's slots, 0 to 1, that admission control
 * keeps free
 */
public record ServicePolicy(String service, double capacityFloor, double headroom) {

	/** The capacity floor of a service for which operators have set none. */
	public static final double DEFAULT_CAPACITY_FLOOR = 0.7;

	/** The headroom of a service for which the planners' sheet has set none. */
	public static final double DEFAULT_HEADROOM = 0.1;

	/**
	 * Returns the policy of a service for which operators have set none.
	 * @param service the service's name
	 * @return the default policy
	 */
	public static ServicePolicy defaults(String service) {
		return new ServicePolicy(service, DEFAULT_CAPACITY_FLOOR, DEFAULT_HEADROOM);
	}

}
