package org.plantainspur.benchmarks.slope;

/**
 * Prints the measurements on which the estimates in {@code docs/CAPACITY.md} are based.
 */
public final class SlopesMain {

	private SlopesMain() {
	}

	/**
	 * Runs the selected groups of measurements and prints a table for each measurement.
	 * @param args any of {@code heap}, {@code messages} and {@code tasks}; all if empty
	 */
	public static void main(String[] args) {
		String selected = (args.length > 0) ? String.join(" ", args) : "heap messages tasks";
		if (selected.contains("heap")) {
			HeapSlopes.print();
		}
		if (selected.contains("messages")) {
			new MessageSlopes().print();
		}
		if (selected.contains("tasks")) {
			new TaskSlopes().print();
		}
	}

}
