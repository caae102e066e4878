package org.plantainspur.core.desired;

/**
 * A service as configured by the operators.
 *
 * @param name the service's name
 * @param healthPath the path of its targets' health check
 * @param maxConnections the connections that one target accepts from all hosts together
 */
public record ServiceRule(String name, String healthPath, int maxConnections) {
}
