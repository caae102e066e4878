package org.plantainspur.core.store;

/**
 * Describes the rows of a replica, so that hosts can tell whose replica of a table is
 * newer without comparing the rows.
 *
 * @param version the version of the store up to which the replica is complete; it also
 * rises when other tables change
 * @param digest a digest of the keys and versions of the rows that are not removed; equal
 * for replicas with the same rows, however they were read
 */
public record TableState(StoreVersion version, long digest) {

	/** The state of a replica that has not been read yet. */
	public static final TableState NONE = new TableState(StoreVersion.NONE, 0);

	/**
	 * Returns whether another replica has newer rows. Within an era of the store the
	 * version alone does not tell, as it rises without a change of this table, and
	 * neither does the digest, as it has no order. Rows of a later era are newer even if
	 * the digest is the same, as the store gives out the versions of rows again.
	 * @param other the state of the other replica
	 * @return {@code true} if the rows differ and the other ones are newer
	 */
	public boolean isBehind(TableState other) {
		return other.version.isAfter(this.version) && (!other.version.isSameEra(this.version)
				|| other.digest != this.digest || this.version.number() == 0);
	}

	/**
	 * Returns whether another replica has the same rows.
	 * @param other the state of the other replica
	 * @return {@code true} if both have been read in the same era and their rows are
	 * equal
	 */
	public boolean hasSameRows(TableState other) {
		return other.version.isSameEra(this.version) && this.version.number() > 0 && other.version.number() > 0
				&& other.digest == this.digest;
	}

	/**
	 * Returns whether another replica confirms that these rows have not changed up to its
	 * version.
	 * @param other the state of the other replica
	 * @return {@code true} if the rows are the same and the other version is newer
	 */
	public boolean isConfirmedBy(TableState other) {
		return other.version.isAfter(this.version) && hasSameRows(other);
	}

}
