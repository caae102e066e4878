package org.plantainspur.core.reach;

/**
 * A host that may relay attempts of this host.
 *
 * @param name the host's name
 * @param failureDomain the name of its failure domain
 * @param startMs when its process started, in Unix milliseconds
 * @param address the IP address of its relay port
 * @param port the relay port
 * @param key proves to the host that a request comes from a host of the fleet
 */
public record RelayHost(String name, String failureDomain, long startMs, String address, int port, RelayKey key) {
}
