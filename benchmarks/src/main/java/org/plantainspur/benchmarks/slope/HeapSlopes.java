package org.plantainspur.benchmarks.slope;

import java.util.ArrayList;
import java.util.List;

import org.plantainspur.core.request.KeyHash;
import org.plantainspur.core.routing.RouteTable;
import org.plantainspur.core.routing.TargetDirectory;

/**
 * Heap bytes of the state that every host holds.
 */
final class HeapSlopes {

	private static final int[] ACCOUNTS = { 1000, 11_000, 44_000 };

	private static final int[] ROUTES = { 100, 1000, 4100 };

	private static final int[] MEMBERS = { 40, 300, 950 };

	private static final int[] SERVICES = { 3, 200, 790 };

	private HeapSlopes() {
	}

	static void print() {
		Table accounts = new Table("Heap of a configuration by accounts, one key each", "accounts", "KB");
		for (int count : ACCOUNTS) {
			accounts.row(count, kilobytes(new SyntheticFleet(count, 0, 0, 1, 0)::configuration));
		}
		accounts.slope();
		Table routes = new Table("Heap of a configuration and its route table by routes", "routes", "KB");
		for (int count : ROUTES) {
			routes.row(count, kilobytes(() -> {
				var configuration = new SyntheticFleet(0, count, 0, 1, 0).configuration();
				return List.of(configuration, RouteTable.of(configuration));
			}));
		}
		routes.slope();
		Table members = new Table("Heap of a membership by members", "members", "KB");
		for (int count : MEMBERS) {
			members.row(count, kilobytes(new SyntheticFleet(0, 0, count, 1, 0)::configuration));
		}
		members.slope();
		Table targets = new Table("Heap of the target list by targets", "targets", "KB");
		for (int count : SERVICES) {
			SyntheticFleet fleet = new SyntheticFleet(0, 0, 0, count, 15);
			targets.row(15 * count, kilobytes(() -> TargetDirectory.of(fleet.targets())));
		}
		targets.slope();
		Table hashes = new Table("Heap of key hashes alone, for comparison", "keys", "KB");
		for (int count : ACCOUNTS) {
			hashes.row(count, kilobytes(() -> {
				List<String> all = new ArrayList<>();
				for (int i = 0; i < count; i++) {
					all.add(KeyHash.of(SyntheticFleet.key(i)));
				}
				return all;
			}));
		}
		hashes.slope();
	}

	private static double kilobytes(java.util.function.Supplier<?> supplier) {
		return Stopwatch.heapBytes(supplier) / 1024.0;
	}

}
