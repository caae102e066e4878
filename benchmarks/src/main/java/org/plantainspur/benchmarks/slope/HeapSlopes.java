package org.plantainspur.benchmarks.slope;

import java.util.ArrayList;
import java.util.List;

import org.plantainspur.core.request.KeyHash;
import org.plantainspur.core.routing.RouteTable;
import org.plantainspur.core.routing.TargetDirectory;

/**
 * Prints how the heap that a host needs for its state grows with the size of the fleet.
 */
final class HeapSlopes {

	private static final int[] ACCOUNT_COUNTS = { 1000, 11_000, 44_000 };

	private static final int[] ROUTE_COUNTS = { 100, 1000, 4100 };

	private static final int[] MEMBER_COUNTS = { 40, 300, 950 };

	// Each service has 15 targets.
	private static final int[] SERVICE_COUNTS = { 3, 200, 790 };

	private HeapSlopes() {
	}

	static void print() {
		GrowthTable accounts = new GrowthTable("Heap of a configuration by accounts, one key each", "accounts", "KB");
		for (int count : ACCOUNT_COUNTS) {
			accounts.printRow(count, retainedKilobytes(new SyntheticFleet(count, 0, 0, 1, 0)::configuration));
		}
		accounts.printSlope();
		GrowthTable routes = new GrowthTable("Heap of a configuration and its route table by routes", "routes", "KB");
		for (int count : ROUTE_COUNTS) {
			routes.printRow(count, retainedKilobytes(() -> {
				var configuration = new SyntheticFleet(0, count, 0, 1, 0).configuration();
				return List.of(configuration, RouteTable.of(configuration));
			}));
		}
		routes.printSlope();
		GrowthTable members = new GrowthTable("Heap of a membership by members", "members", "KB");
		for (int count : MEMBER_COUNTS) {
			members.printRow(count, retainedKilobytes(new SyntheticFleet(0, 0, count, 1, 0)::configuration));
		}
		members.printSlope();
		GrowthTable targets = new GrowthTable("Heap of the target list by targets", "targets", "KB");
		for (int count : SERVICE_COUNTS) {
			SyntheticFleet fleet = new SyntheticFleet(0, 0, 0, count, 15);
			targets.printRow(15 * count, retainedKilobytes(() -> TargetDirectory.of(fleet.targets())));
		}
		targets.printSlope();
		GrowthTable hashes = new GrowthTable("Heap of key hashes alone, for comparison", "keys", "KB");
		for (int count : ACCOUNT_COUNTS) {
			hashes.printRow(count, retainedKilobytes(() -> {
				List<String> keyHashes = new ArrayList<>();
				for (int i = 0; i < count; i++) {
					keyHashes.add(KeyHash.of(SyntheticFleet.key(i)));
				}
				return keyHashes;
			}));
		}
		hashes.printSlope();
	}

	private static double retainedKilobytes(java.util.function.Supplier<?> supplier) {
		return Measurement.retainedHeapBytes(supplier) / 1024.0;
	}

}
