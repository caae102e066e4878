package org.plantainspur.gateway;

import java.util.List;
import java.util.function.Function;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.desired.DesiredState;
import org.plantainspur.core.store.PooledStore;
import org.plantainspur.core.store.StoredRow;
import org.plantainspur.core.target.TargetListing;
import org.plantainspur.gateway.http.EndpointServer;
import org.plantainspur.gateway.http.EventLoopHttpClient;
import org.plantainspur.gateway.http.HeaderNames;

/**
 * Port to the platform that a host runs on: its store, the formats of its rows, and the
 * names and paths that it prescribes.
 */
public interface PlatformAdapter {

	/**
	 * Returns the names of the HTTP headers that the deployment uses.
	 * @return the header names, by what the headers hold
	 */
	HeaderNames headerNames();

	/**
	 * Creates a client of the platform's table store.
	 * @param httpClient sends requests to the store's address
	 * @return the client
	 */
	PooledStore store(EventLoopHttpClient httpClient);

	/**
	 * Returns the name of the table that holds the desired state.
	 * @return a table of the store
	 */
	String desiredStateTable();

	/**
	 * Returns the name of the table that lists the targets.
	 * @return a table of the store
	 */
	String targetTable();

	/**
	 * Parses a desired state.
	 * @param row a row of the desired state's table
	 * @return the state, or {@code null} if the row holds none or is malformed
	 */
	@Nullable DesiredState desiredState(StoredRow row);

	/**
	 * Parses a target.
	 * @param row a row of the targets' table
	 * @return the target, or {@code null} if the row is malformed
	 */
	@Nullable TargetListing target(StoredRow row);

	/**
	 * Returns the path of the readiness endpoint.
	 * @return a path that begins with a slash
	 */
	String readyPath();

	/**
	 * Returns the path of the directory, at which callers ask for hosts.
	 * @return a path that begins with a slash
	 */
	String directoryPath();

	/**
	 * Returns the endpoint that tells callers which hosts they may connect to.
	 * @param addresses supplies the caller addresses of these hosts, {@code ip:port}
	 * @param lifetimeMs how long callers may cache a response, in milliseconds
	 * @return computes the response to a query
	 */
	Function<EndpointServer.Query, EndpointServer.Response> directoryEndpoint(Supplier<List<String>> addresses,
			long lifetimeMs);

}
