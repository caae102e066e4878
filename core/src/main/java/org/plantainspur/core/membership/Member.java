package org.plantainspur.core.membership;

/**
 * An entry host process that is a member of the fleet or has requested to become one.
 *
 * @param hostId the host's name, which stays the same when the process is replaced
 * @param processId the random identifier of the process
 * @param region the name of the region that the host runs in
 * @param failureDomain the name of the failure domain that the host runs in
 * @param callerAddress the address for callers as {@code ip:port}
 * @param peerAddress the address for other members as {@code ip:port}
 * @param adminAddress the address for operators as {@code ip:port}
 * @param resigned whether the process has stopped using its shares of rate limits and is
 * about to exit
 */
public record Member(String hostId, String processId, String region, String failureDomain, String callerAddress,
		String peerAddress, String adminAddress, boolean resigned) {

	/**
	 * Returns a builder of a member that has not resigned.
	 * @param hostId the host's name
	 * @param processId the random identifier of the process
	 * @return a builder whose region, failure domain and addresses are empty strings
	 */
	public static Builder builder(String hostId, String processId) {
		return new Builder(hostId, processId);
	}

	/**
	 * Returns a copy of this member that is marked as resigned.
	 * @return the resigned member
	 */
	public Member asResigned() {
		return new Member(this.hostId, this.processId, this.region, this.failureDomain, this.callerAddress,
				this.peerAddress, this.adminAddress, true);
	}

	/**
	 * Builds a {@link Member}.
	 */
	public static final class Builder {

		private final String hostId;

		private final String processId;

		private String region = "";

		private String failureDomain = "";

		private String callerAddress = "";

		private String peerAddress = "";

		private String adminAddress = "";

		Builder(String hostId, String processId) {
			this.hostId = hostId;
			this.processId = processId;
		}

		public Builder region(String region) {
			this.region = region;
			return this;
		}

		public Builder failureDomain(String failureDomain) {
			this.failureDomain = failureDomain;
			return this;
		}

		public Builder callerAddress(String callerAddress) {
			this.callerAddress = callerAddress;
			return this;
		}

		public Builder peerAddress(String peerAddress) {
			this.peerAddress = peerAddress;
			return this;
		}

		public Builder adminAddress(String adminAddress) {
			this.adminAddress = adminAddress;
			return this;
		}

		public Member build() {
			return new Member(this.hostId, this.processId, this.region, this.failureDomain, this.callerAddress,
					this.peerAddress, this.adminAddress, false);
		}

	}

}
