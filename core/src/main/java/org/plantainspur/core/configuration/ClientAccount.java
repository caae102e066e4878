package org.plantainspur.core.configuration;

/**
 * A client account and its rate limit.
 *
 * @param id the account's name, such as {@code harbor-clinic}
 * @param ratePerSecond the requests per second that the account may send across all hosts
 * @param burst the number of requests that may arrive at once after a pause, across all
 * hosts
 */
public record ClientAccount(String id, double ratePerSecond, double burst) {
}
