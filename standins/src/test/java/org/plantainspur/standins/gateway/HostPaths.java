package org.plantainspur.standins.gateway;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.function.IntPredicate;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.desired.DesiredState;
import org.plantainspur.core.store.PooledStore;
import org.plantainspur.core.store.StoredRow;
import org.plantainspur.core.target.TargetListing;
import org.plantainspur.gateway.PlatformAdapter;
import org.plantainspur.gateway.http.EndpointServer;
import org.plantainspur.gateway.http.EventLoopHttpClient;
import org.plantainspur.gateway.http.HeaderNames;

/**
 * The paths of one host to all targets. As a platform adapter it lists each target at the
 * near end of its path, so that the paths of one host can be cut while the other hosts
 * reach the targets.
 */
final class HostPaths implements PlatformAdapter, AutoCloseable {

	private final PlatformAdapter platform;

	private final Map<Integer, CuttablePath> byTargetPort = new ConcurrentHashMap<>();

	HostPaths(PlatformAdapter platform) {
		this.platform = platform;
	}

	void cut(CuttablePath.Kind kind) throws IOException {
		cut(kind, (port) -> true);
	}

	/** Cuts the paths to the targets at the given ports. */
	void cut(CuttablePath.Kind kind, IntPredicate targetPorts) throws IOException {
		for (Map.Entry<Integer, CuttablePath> path : this.byTargetPort.entrySet()) {
			if (targetPorts.test(path.getKey())) {
				path.getValue().cut(kind);
			}
		}
	}

	void restore() throws IOException {
		for (CuttablePath path : this.byTargetPort.values()) {
			path.restore();
		}
	}

	@Override
	public @Nullable TargetListing target(StoredRow row) {
		TargetListing listing = this.platform.target(row);
		if (listing == null) {
			return null;
		}
		CuttablePath path = this.byTargetPort.computeIfAbsent(listing.port(), HostPaths::open);
		return new TargetListing(listing.id(), listing.service(), listing.host(), path.port(), listing.failureDomain(),
				listing.slots(), listing.leaving(), listing.warmUpMs(), listing.startedMs());
	}

	private static CuttablePath open(int targetPort) {
		try {
			return new CuttablePath(targetPort);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	@Override
	public HeaderNames headerNames() {
		return this.platform.headerNames();
	}

	@Override
	public PooledStore store(EventLoopHttpClient httpClient) {
		return this.platform.store(httpClient);
	}

	@Override
	public String desiredStateTable() {
		return this.platform.desiredStateTable();
	}

	@Override
	public String targetTable() {
		return this.platform.targetTable();
	}

	@Override
	public @Nullable DesiredState desiredState(StoredRow row) {
		return this.platform.desiredState(row);
	}

	@Override
	public String readyPath() {
		return this.platform.readyPath();
	}

	@Override
	public String directoryPath() {
		return this.platform.directoryPath();
	}

	@Override
	public Function<EndpointServer.Query, EndpointServer.Response> directoryEndpoint(Supplier<List<String>> addresses,
			long lifetimeMs) {
		return this.platform.directoryEndpoint(addresses, lifetimeMs);
	}

	@Override
	public void close() throws IOException {
		for (CuttablePath path : this.byTargetPort.values()) {
			path.close();
		}
	}

}
