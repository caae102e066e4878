package org.plantainspur.gateway;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.finding.Required;

/**
 * What an entry host is told at its start. For example
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

	private final InetSocketAddress storeAddress;

	private final double retryRatio;

	private final double retryConstant;

	private final long retryWindowMs;

	private final double floorShare;

	private final long graceMs;

	private final double cores;

	private final long changeApplyMs;

	private GatewaySettings(Builder builder) {
		this.host = Required.of(builder.host, "host");
		this.failureDomain = Required.of(builder.failureDomain, "failureDomain");
		this.regions = Map.copyOf(builder.regions);
		this.callerAddress = Required.of(builder.callerAddress, "callerAddress");
		this.readyAddress = Required.of(builder.readyAddress, "readyAddress");
		this.directoryAddress = Required.of(builder.directoryAddress, "directoryAddress");
		this.peerAddress = Required.of(builder.peerAddress, "peerAddress");
		this.metricsAddress = Required.of(builder.metricsAddress, "metricsAddress");
		this.storeAddress = Required.of(builder.storeAddress, "storeAddress");
		this.retryRatio = builder.retryRatio;
		this.retryConstant = builder.retryConstant;
		this.retryWindowMs = builder.retryWindowMs;
		this.floorShare = builder.floorShare;
		this.graceMs = builder.graceMs;
		this.cores = builder.cores;
		this.changeApplyMs = builder.changeApplyMs;
	}

	/**
	 * Returns a builder.
	 * @return a builder without addresses
	 */
	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Returns the host's name.
	 * @return the name
	 */
	public String host() {
		return this.host;
	}

	/**
	 * Returns the host's failure domain.
	 * @return its name
	 */
	public String failureDomain() {
		return this.failureDomain;
	}

	/**
	 * Returns the region of each failure domain.
	 * @return an unmodifiable map
	 */
	public Map<String, String> regions() {
		return this.regions;
	}

	/**
	 * Returns where callers connect.
	 * @return the address
	 */
	public InetSocketAddress callerAddress() {
		return this.callerAddress;
	}

	/**
	 * Returns where readiness is asked.
	 * @return the address
	 */
	public InetSocketAddress readyAddress() {
		return this.readyAddress;
	}

	/**
	 * Returns where callers ask for hosts.
	 * @return the address
	 */
	public InetSocketAddress directoryAddress() {
		return this.directoryAddress;
	}

	/**
	 * Returns where beats of other hosts come in.
	 * @return the address, UDP
	 */
	public InetSocketAddress peerAddress() {
		return this.peerAddress;
	}

	/**
	 * Returns where metrics are read.
	 * @return the address
	 */
	public InetSocketAddress metricsAddress() {
		return this.metricsAddress;
	}

	/**
	 * Returns the store's address.
	 * @return the address
	 */
	public InetSocketAddress storeAddress() {
		return this.storeAddress;
	}

	/**
	 * Returns the attempts beyond the first that the whole fleet may make for each
	 * request.
	 * @return the ratio
	 */
	public double retryRatio() {
		return this.retryRatio;
	}

	/**
	 * Returns the attempts beyond the first that the whole fleet may make besides.
	 * @return a number of attempts
	 */
	public double retryConstant() {
		return this.retryConstant;
	}

	/**
	 * Returns the length of the windows of the retry budget.
	 * @return the time in milliseconds
	 */
	public long retryWindowMs() {
		return this.retryWindowMs;
	}

	/**
	 * Returns the part of a service's targets that gets work whatever they do.
	 * @return from 0 to 1
	 */
	public double floorShare() {
		return this.floorShare;
	}

	/**
	 * Returns the time between the request to stop and the end of the process.
	 * @return the time in milliseconds
	 */
	public long graceMs() {
		return this.graceMs;
	}

	/**
	 * Returns the processor cores that the host may use.
	 * @return a number, such as 0.6
	 */
	public double cores() {
		return this.cores;
	}

	/**
	 * Returns the time within which a change of the desired state must be in force.
	 * @return the time in milliseconds
	 */
	public long changeApplyMs() {
		return this.changeApplyMs;
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
		 * @param name the name
		 * @return this builder
		 */
		public Builder host(String name) {
			this.host = name;
			return this;
		}

		/**
		 * Sets the host's failure domain.
		 * @param name its name
		 * @return this builder
		 */
		public Builder failureDomain(String name) {
			this.failureDomain = name;
			return this;
		}

		/**
		 * Adds a failure domain.
		 * @param domain the failure domain
		 * @param region its region
		 * @return this builder
		 */
		public Builder region(String domain, String region) {
			this.regions.put(domain, region);
			return this;
		}

		/**
		 * Sets where callers connect.
		 * @param address the address
		 * @return this builder
		 */
		public Builder callerAddress(InetSocketAddress address) {
			this.callerAddress = address;
			return this;
		}

		/**
		 * Sets where readiness is asked.
		 * @param address the address
		 * @return this builder
		 */
		public Builder readyAddress(InetSocketAddress address) {
			this.readyAddress = address;
			return this;
		}

		/**
		 * Sets where callers ask for hosts.
		 * @param address the address
		 * @return this builder
		 */
		public Builder directoryAddress(InetSocketAddress address) {
			this.directoryAddress = address;
			return this;
		}

		/**
		 * Sets where beats of other hosts come in.
		 * @param address the address, UDP
		 * @return this builder
		 */
		public Builder peerAddress(InetSocketAddress address) {
			this.peerAddress = address;
			return this;
		}

		/**
		 * Sets where metrics are read.
		 * @param address the address
		 * @return this builder
		 */
		public Builder metricsAddress(InetSocketAddress address) {
			this.metricsAddress = address;
			return this;
		}

		/**
		 * Sets the store's address.
		 * @param address the address
		 * @return this builder
		 */
		public Builder storeAddress(InetSocketAddress address) {
			this.storeAddress = address;
			return this;
		}

		/**
		 * Sets the fleet's budget of attempts beyond the first.
		 * @param ratio the attempts for each request
		 * @param constant the attempts besides, in each window
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
		 * Sets the part of a service's targets that gets work whatever they do.
		 * @param share from 0 to 1
		 * @return this builder
		 */
		public Builder floorShare(double share) {
			this.floorShare = share;
			return this;
		}

		/**
		 * Sets the time between the request to stop and the end of the process.
		 * @param milliseconds the time
		 * @return this builder
		 */
		public Builder graceMs(long milliseconds) {
			this.graceMs = milliseconds;
			return this;
		}

		/**
		 * Sets the processor cores that the host may use.
		 * @param number a number, such as 0.6
		 * @return this builder
		 */
		public Builder cores(double number) {
			this.cores = number;
			return this;
		}

		/**
		 * Sets the time within which a change of the desired state must be in force.
		 * @param milliseconds the time
		 * @return this builder
		 */
		public Builder changeApplyMs(long milliseconds) {
			this.changeApplyMs = milliseconds;
			return this;
		}

		/**
		 * Builds the settings.
		 * @return the settings
		 */
		public GatewaySettings build() {
			return new GatewaySettings(this);
		}

	}

}
