package org.plantainspur.gateway;

import java.util.List;
import java.util.function.Function;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.desired.DesiredState;
import org.plantainspur.core.store.Store;
import org.plantainspur.core.store.StoredRow;
import org.plantainspur.core.target.TargetListing;
import org.plantainspur.gateway.http.HeaderNames;
import org.plantainspur.gateway.http.HttpCalls;
import org.plantainspur.gateway.http.PageServer;

/**
 * What a platform adapter translates for the host.
 */
public interface PlatformPorts {

	/**
	 * Returns the headers of the deployment.
	 * @return the names
	 */
	HeaderNames headers();

	/**
	 * Returns the store.
	 * @param calls makes calls to the store's address
	 * @return the store
	 */
	Store store(HttpCalls calls);

	/**
	 * Returns the table that holds the desired state.
	 * @return the table's name
	 */
	String desiredStateTable();

	/**
	 * Returns the table that lists the targets.
	 * @return the table's name
	 */
	String targetTable();

	/**
	 * Reads a desired state.
	 * @param row a row of its table
	 * @return the state, or {@code null} if the row holds none that can be read
	 */
	@Nullable DesiredState desiredState(StoredRow row);

	/**
	 * Reads a target.
	 * @param row a row of the targets' table
	 * @return the target, or {@code null} if the row names none that can be used
	 */
	@Nullable TargetListing target(StoredRow row);

	/**
	 * Returns the path at which readiness is asked.
	 * @return the path
	 */
	String readyPath();

	/**
	 * Returns the path at which callers ask for hosts.
	 * @return the path
	 */
	String directoryPath();

	/**
	 * Returns the page that tells callers where to connect.
	 * @param addresses gives the addresses of the hosts that take callers
	 * @param validMs how long callers may keep the answer, in milliseconds
	 * @return the page
	 */
	Function<PageServer.Query, PageServer.Page> directoryPage(Supplier<List<String>> addresses, long validMs);

}
