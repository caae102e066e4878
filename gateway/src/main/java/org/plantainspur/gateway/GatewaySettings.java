package org.plantainspur.gateway;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.finding.Required;
import org.plantainspur.core.store.ChangeDelayBudget;

/**
 * Settings of an entry host, fixed at its start. For example
 * {@code GatewaySettings.builder().host("pdx-a-1").failureDomain("pdx-a").region("pdx-a", "pdx")...build()}.
 */
public final class GatewaySettings {

	private final String host;

	private final String failureDomain;

	private final Map<String, String> regions;

	private final InetSocketAddress callerAddress;

	private final InetSocketAddress readyAddress;

	private final InetSocketAddress directoryAddress;

	private final InetSocketAddress peerAddress;

	private final InetSocketAddress metricsAddress;

	private final InetSocketAddress relayAddress;

	private final InetSocketAddress storeAddress;

	private final double retryRatio;

	private final double retryConstant;

	private final long retryWindowMs;

	private final double floorShare;

	private final long graceMs;

	private final double cores;

	private final ChangeDelayBudget changeDelays;

	private GatewaySettings(Builder builder) {
		this.host = Required.of(builder.host, "host");
		this.failureDomain = Required.of(builder.failureDomain, "failureDomain");
		this.regions = Map.copyOf(builder.regions);
		this.callerAddress = Required.of(builder.callerAddress, "callerAddress");
		this.readyAddress = Required.of(builder.readyAddress, "readyAddress");
		this.directoryAddress = Required.of(builder.directoryAddress, "directoryAddress");
		this.peerAddress = Required.of(builder.peerAddress, "peerAddress");
		this.metricsAddress = Required.of(builder.metricsAddress, "metricsAddress");
		this.relayAddress = Required.of(builder.relayAddress, "relayAddress");
		this.storeAddress = Required.of(builder.storeAddress, "storeAddress");
		this.retryRatio = builder.retryRatio;
		this.retryConstant = builder.retryConstant;
		this.retryWindowMs = builder.retryWindowMs;
		this.floorShare = builder.floorShare;
		this.graceMs = builder.graceMs;
		this.cores = builder.cores;
		this.changeDelays = ChangeDelayBudget.builder().applyMs(builder.changeApplyMs).build();
	}

	/**
	 * Returns a builder.
	 * @return a builder with defaults for the limits, but without names and addresses
	 */
	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Returns the host's name.
	 * @return a name that is unique in the fleet
	 */
	public String host() {
		return this.host;
	}

	/**
	 * Returns the host's failure domain.
	 * @return the name of the failure domain
	 */
	public String failureDomain() {
		return this.failureDomain;
	}

	/**
	 * Returns the region of each failure domain of the fleet.
	 * @return an unmodifiable map from failure domains to regions, by name
	 */
	public Map<String, String> regions() {
		return this.regions;
	}

	/**
	 * Returns the address that callers connect to.
	 * @return the address to listen on, TCP
	 */
	public InetSocketAddress callerAddress() {
		return this.callerAddress;
	}

	/**
	 * Returns the address of the readiness endpoint.
	 * @return the address to listen on, TCP
	 */
	public InetSocketAddress readyAddress() {
		return this.readyAddress;
	}

	/**
	 * Returns the address of the directory, at which callers ask for hosts.
	 * @return the address to listen on, TCP
	 */
	public InetSocketAddress directoryAddress() {
		return this.directoryAddress;
	}

	/**
	 * Returns the address for the other hosts: heartbeats come over UDP, and requests for
	 * rows of the store over TCP.
	 * @return the address to listen on, UDP and TCP
	 */
	public InetSocketAddress peerAddress() {
		return this.peerAddress;
	}

	/**
	 * Returns the address of the metrics endpoint.
	 * @return the address to listen on, TCP
	 */
	public InetSocketAddress metricsAddress() {
		return this.metricsAddress;
	}

	/**
	 * Returns the address at which other hosts have requests relayed. Its distance from
	 * the port of the peer address is the same on all hosts.
	 * @return the address to listen on, TCP
	 */
	public InetSocketAddress relayAddress() {
		return this.relayAddress;
	}

	/**
	 * Returns the address of the platform's store.
	 * @return the address to connect to, TCP
	 */
	public InetSocketAddress storeAddress() {
		return this.storeAddress;
	}

	/**
	 * Returns the proportional part of the fleet's retry budget.
	 * @return the attempts beyond the first that the whole fleet may make for each
	 * request
	 */
	public double retryRatio() {
		return this.retryRatio;
	}

	/**
	 * Returns the constant part of the fleet's retry budget.
	 * @return the attempts beyond the first that the whole fleet may make in each window,
	 * whatever the number of requests
	 */
	public double retryConstant() {
		return this.retryConstant;
	}

	/**
	 * Returns the length of a window of the retry budget.
	 * @return a time in milliseconds
	 */
	public long retryWindowMs() {
		return this.retryWindowMs;
	}

	/**
	 * Returns the share of a service's targets that stays in use while the service fails
	 * many requests, however unhealthy these targets seem.
	 * @return a fraction from 0 to 1
	 */
	public double floorShare() {
		return this.floorShare;
	}

	/**
	 * Returns the grace period: the time between the request to stop and the kill of the
	 * process.
	 * @return a time in milliseconds
	 */
	public long graceMs() {
		return this.graceMs;
	}

	/**
	 * Returns the processor cores that the host may use.
	 * @return a number of cores, possibly a fraction such as 0.6
	 */
	public double cores() {
		return this.cores;
	}

	/**
	 * Returns the waits between a change of the desired state and its use.
	 * @return the budget for the time within which a change must be in force
	 */
	public ChangeDelayBudget changeDelays() {
		return this.changeDelays;
	}

	/**
	 * Builds {@link GatewaySettings}.
	 */
	public static final class Builder {

		private @Nullable String host;

		private @Nullable String failureDomain;

		private final Map<String, String> regions = new HashMap<>();

		private @Nullable InetSocketAddress callerAddress;

		private @Nullable InetSocketAddress readyAddress;

		private @Nullable InetSocketAddress directoryAddress;

		private @Nullable InetSocketAddress peerAddress;

		private @Nullable InetSocketAddress metricsAddress;

		private @Nullable InetSocketAddress relayAddress;

		private @Nullable InetSocketAddress storeAddress;

		private double retryRatio = 0.1;

		private double retryConstant = 10;

		private long retryWindowMs = 10_000;

		private double floorShare = 0.7;

		private long graceMs = 6_000;

		private double cores = 1;

		private long changeApplyMs = 2_500;

		private Builder() {
		}

		/**
		 * Sets the host's name.
		 * @param name a name that is unique in the fleet
		 * @return this builder
		 */
		public Builder host(String name) {
			this.host = name;
			return this;
		}

		/**
		 * Sets the host's failure domain.
		 * @param name the name of the failure domain
		 * @return this builder
		 */
		public Builder failureDomain(String name) {
			this.failureDomain = name;
			return this;
		}

		/**
		 * Adds a failure domain of the fleet.
		 * @param domain the name of the failure domain
		 * @param region the name of its region
		 * @return this builder
		 */
		public Builder region(String domain, String region) {
			this.regions.put(domain, region);
			return this;
		}

		/**
		 * Sets the address that callers connect to.
		 * @param address the address to listen on, TCP
		 * @return this builder
		 */
		public Builder callerAddress(InetSocketAddress address) {
			this.callerAddress = address;
			return this;
		}

		/**
		 * Sets the address of the readiness endpoint.
		 * @param address the address to listen on, TCP
		 * @return this builder
		 */
		public Builder readyAddress(InetSocketAddress address) {
			this.readyAddress = address;
			return this;
		}

		/**
		 * Sets the address of the directory, at which callers ask for hosts.
		 * @param address the address to listen on, TCP
		 * @return this builder
		 */
		public Builder directoryAddress(InetSocketAddress address) {
			this.directoryAddress = address;
			return this;
		}

		/**
		 * Sets the address for the other hosts: heartbeats come over UDP, and requests
		 * for rows of the store over TCP.
		 * @param address the address to listen on, UDP and TCP
		 * @return this builder
		 */
		public Builder peerAddress(InetSocketAddress address) {
			this.peerAddress = address;
			return this;
		}

		/**
		 * Sets the address of the metrics endpoint.
		 * @param address the address to listen on, TCP
		 * @return this builder
		 */
		public Builder metricsAddress(InetSocketAddress address) {
			this.metricsAddress = address;
			return this;
		}

		/**
		 * Sets the address at which other hosts have requests relayed.
		 * @param address the address to listen on, TCP
		 * @return this builder
		 */
		public Builder relayAddress(InetSocketAddress address) {
			this.relayAddress = address;
			return this;
		}

		/**
		 * Sets the address of the platform's store.
		 * @param address the address to connect to, TCP
		 * @return this builder
		 */
		public Builder storeAddress(InetSocketAddress address) {
			this.storeAddress = address;
			return this;
		}

		/**
		 * Sets the retry budget of the whole fleet, in attempts beyond the first.
		 * @param ratio the attempts for each request
		 * @param constant the additional attempts in each window
		 * @param windowMs the length of a window, in milliseconds
		 * @return this builder
		 */
		public Builder retryBudget(double ratio, double constant, long windowMs) {
			this.retryRatio = ratio;
			this.retryConstant = constant;
			this.retryWindowMs = windowMs;
			return this;
		}

		/**
		 * Sets the share of a service's targets that stays in use while the service fails
		 * many requests, however unhealthy these targets seem.
		 * @param share a fraction from 0 to 1
		 * @return this builder
		 */
		public Builder floorShare(double share) {
			this.floorShare = share;
			return this;
		}

		/**
		 * Sets the grace period: the time between the request to stop and the kill of the
		 * process.
		 * @param milliseconds a time in milliseconds
		 * @return this builder
		 */
		public Builder graceMs(long milliseconds) {
			this.graceMs = milliseconds;
			return this;
		}

		/**
		 * Sets the processor cores that the host may use.
		 * @param number a number of cores, possibly a fraction such as 0.6
		 * @return this builder
		 */
		public Builder cores(double number) {
			this.cores = number;
			return this;
		}

		/**
		 * Sets the time within which a change of the desired state must be in force.
		 * @param milliseconds a time in milliseconds, counted from the write to the store
		 * @return this builder
		 */
		public Builder changeApplyMs(long milliseconds) {
			this.changeApplyMs = milliseconds;
			return this;
		}

		/**
		 * Builds the settings.
		 * @return settings that no longer depend on this builder
		 */
		public GatewaySettings build() {
			return new GatewaySettings(this);
		}

	}

}
