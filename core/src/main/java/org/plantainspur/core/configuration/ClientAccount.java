package org.plantainspur.core.configuration;

/**
 * A client account and its limits.
 *
 * @param id the account's name, such as {@code harbor-clinic}
 * @param ratePerSecond requests per second that the account is entitled to across all
 * hosts
 * @param burst requests that may run at once after a pause, across all hosts
 */
public record ClientAccount(String id, double ratePerSecond, double burst) {
}
