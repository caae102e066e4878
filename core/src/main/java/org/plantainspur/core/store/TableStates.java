package org.plantainspur.core.store;

/**
 * The states of a host's replicas, one for each table. They are compared table by table:
 * a sum over the tables hides that one host has the newer rows of one table and another
 * host those of the other.
 *
 * @param desiredState the state of the table of desired states
 * @param targets the state of the table of targets
 */
public record TableStates(TableState desiredState, TableState targets) {

	/** The states of a host that has read nothing yet. */
	public static final TableStates NONE = new TableStates(TableState.NONE, TableState.NONE);

	/**
	 * Returns a digest of the rows of all tables.
	 * @return another number after a change of any row and in another era of the store
	 */
	public long digest() {
		return (this.desiredState.digest() * 31 + this.targets.digest()) * 31 + this.desiredState.version().era()
				+ this.targets.version().era();
	}

	/**
	 * Returns whether another host has newer rows of any table.
	 * @param other the states of the other host
	 * @return {@code true} if rows should be fetched from it
	 */
	public boolean isBehind(TableStates other) {
		return this.desiredState.isBehind(other.desiredState) || this.targets.isBehind(other.targets);
	}

}
