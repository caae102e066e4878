package org.plantainspur.core.membership;

/**
 * An entry host process that is a member of the fleet.
 *
 * @param hostId the host's name, which stays when the process is replaced
 * @param processId a random identity of the process
 * @param region the region
 * @param failureDomain the failure domain
 * @param callerAddress {@code ip:port} for callers
 * @param peerAddress {@code ip:port} for other members
 * @param adminAddress {@code ip:port} for operators
 * @param resigned whether the member has stopped using its shares and is about to stop
 */
public record Member(String hostId, String processId, String region, String failureDomain, String callerAddress,
		String peerAddress, String adminAddress, boolean resigned) {

	/**
	 * Returns a builder.
	 * @param hostId the host's name
	 * @param processId the identity of the process
	 * @return a builder with empty addresses
	 */
	public static Builder builder(String hostId, String processId) {
		return new Builder(hostId, processId);
	}

	/**
	 * Returns this member, resigned.
	 * @return a copy
	 */
	public Member resign() {
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
