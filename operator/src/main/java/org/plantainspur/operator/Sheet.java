package org.plantainspur.operator;

import java.io.IOException;
import java.io.Reader;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVParser;
import org.apache.commons.csv.CSVRecord;

import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.configuration.ServicePolicy;
import org.plantainspur.core.finding.Findings;

/**
 * The planners' sheet: CSV with the columns {@code kind,name,headroom,rate,burst}, where
 * kind is {@code service} or {@code account}. For example <pre>
 * kind,name,headroom,rate,burst
 * service,booking,0.25,,
 * account,harbor-clinic,,120,40
 * </pre>
 *
 * @param services the new policies
 * @param accounts the new limits
 */
record Sheet(List<ServicePolicy> services, List<ClientAccount> accounts) {

	private static final List<String> COLUMNS = List.of("kind", "name", "headroom", "rate", "burst");

	Change.ApplySheet change() {
		return new Change.ApplySheet(this.services, this.accounts);
	}

	/**
	 * Reads a sheet.
	 * @param reader the sheet
	 * @param base the configuration that it changes
	 * @return the rows that differ from the configuration
	 * @throws IOException if the sheet cannot be read
	 * @throws Findings.InvalidInputException naming every fault with its row and column
	 */
	static Sheet read(Reader reader, Configuration base) throws IOException {
		Findings findings = new Findings();
		List<ServicePolicy> services = new ArrayList<>();
		List<ClientAccount> accounts = new ArrayList<>();
		Set<String> seen = new HashSet<>();
		CSVFormat format = CSVFormat.DEFAULT.builder().setHeader().setSkipHeaderRecord(true).setTrim(true).get();
		try (CSVParser parser = format.parse(reader)) {
			if (!parser.getHeaderNames().equals(COLUMNS)) {
				findings.add("row 1", String.join(",", parser.getHeaderNames()), "is not the header of a sheet",
						"write " + String.join(",", COLUMNS));
				findings.throwIfAny();
			}
			for (CSVRecord row : parser) {
				new Row(row, parser.getCurrentLineNumber(), findings).read(base, services, accounts, seen);
			}
		}
		findings.throwIfAny();
		services.removeIf((policy) -> policy.equals(base.service(policy.service())));
		accounts.removeIf((account) -> account.equals(base.account(account.id())));
		return new Sheet(List.copyOf(services), List.copyOf(accounts));
	}

	List<String> differences(Configuration base) {
		List<String> lines = new ArrayList<>();
		this.services.forEach((policy) -> lines.add("service " + policy.service() + ": headroom "
				+ base.service(policy.service()).headroom() + " -> " + policy.headroom()));
		for (ClientAccount account : this.accounts) {
			ClientAccount before = base.account(account.id());
			if (before != null) {
				lines.add("account " + account.id() + ": rate " + before.ratePerSecond() + " -> "
						+ account.ratePerSecond() + ", burst " + before.burst() + " -> " + account.burst());
			}
		}
		return lines;
	}

	private record Row(CSVRecord cells, long line, Findings findings) {

		void read(Configuration base, List<ServicePolicy> services, List<ClientAccount> accounts, Set<String> seen) {
			if (this.cells.size() != COLUMNS.size()) {
				this.findings.add("row " + this.line, String.join(",", this.cells.toList()),
						"has " + this.cells.size() + " columns", "write " + COLUMNS.size() + " columns");
				return;
			}
			String kind = cell("kind");
			String name = cell("name");
			if (name.isEmpty() || !seen.add(kind + "/" + name)) {
				fault("name", "is empty or stands in an earlier row", "name each entity once");
			}
			switch (kind) {
				case "service" -> {
					empty("rate");
					empty("burst");
					double headroom = number("headroom", 0, 0.95);
					services.add(new ServicePolicy(name, base.service(name).capacityFloor(), headroom));
				}
				case "account" -> {
					empty("headroom");
					if (base.account(name) == null) {
						fault("name", "is not a client account", "create it with 'account put' first");
					}
					accounts.add(new ClientAccount(name, number("rate", 0.001, 1e6), number("burst", 1, 1e6)));
				}
				default -> fault("kind", "is not a kind of entity", "write service or account");
			}
		}

		private String cell(String column) {
			return this.cells.get(COLUMNS.indexOf(column));
		}

		private void empty(String column) {
			if (!cell(column).isEmpty()) {
				fault(column, "has no meaning for kind " + cell("kind"), "leave it empty");
			}
		}

		private double number(String column, double minimum, double maximum) {
			try {
				double value = Double.parseDouble(cell(column));
				if (value >= minimum && value <= maximum) {
					return value;
				}
			}
			catch (NumberFormatException ex) {
				// Reported below together with numbers outside the range.
			}
			fault(column, "is not a number from " + minimum + " to " + maximum, "write a number such as " + minimum);
			return minimum;
		}

		private void fault(String column, String problem, String suggestion) {
			this.findings.add("row " + this.line + ", column " + column, cell(column), problem, suggestion);
		}

	}

}
