package org.plantainspur.benchmarks.slope;

/**
 * Prints the tables that {@code docs/CAPACITY.md} is worked out from.
 */
public final class SlopesMain {

	private SlopesMain() {
	}

	/**
	 * Measures and prints.
	 * @param args {@code heap}, {@code messages}, {@code tasks}; all without arguments
	 */
	public static void main(String[] args) {
		String wanted = (args.length > 0) ? String.join(" ", args) : "heap messages tasks";
		if (wanted.contains("heap")) {
			HeapSlopes.print();
		}
		if (wanted.contains("messages")) {
			new MessageSlopes().print();
		}
		if (wanted.contains("tasks")) {
			new TaskSlopes().print();
		}
	}

}
