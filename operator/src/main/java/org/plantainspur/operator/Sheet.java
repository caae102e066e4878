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
 * The planners' sheet, in which capacity planners set the headroom of services and the
 * rate limits of client accounts. It is CSV with the columns
 * {@code kind,name,headroom,rate,burst}, where kind is {@code service} or
 * {@code account}. For example <pre>
 * kind,name,headroom,rate,burst
 * service,booking,0.25,,
 * account,harbor-clinic,,120,40
 * </pre>
 *
 * @param services the policies of the services whose headroom changes
 * @param accounts the client accounts whose limits change
 */
record Sheet(List<ServicePolicy> services, List<ClientAccount> accounts) {

	private static final List<String> COLUMNS = List.of("kind", "name", "headroom", "rate", "burst");

	Change.ApplySheet change() {
		return new Change.ApplySheet(this.services, this.accounts);
	}

	/**
	 * Reads a sheet and keeps the rows that differ from a configuration.
	 * @param reader the CSV text with its header row
	 * @param base the configuration to compare with
	 * @return a sheet with only the rows that change something
	 * @throws IOException if the sheet cannot be read
	 * @throws Findings.InvalidInputException if the sheet is invalid; names every invalid
	 * cell with its row and column
	 */
	static Sheet read(Reader reader, Configuration base) throws IOException {
		Findings findings = new Findings();
		List<ServicePolicy> services = new ArrayList<>();
		List<ClientAccount> accounts = new ArrayList<>();
		Set<String> seenEntities = new HashSet<>();
		CSVFormat format = CSVFormat.DEFAULT.builder().setHeader().setSkipHeaderRecord(true).setTrim(true).get();
		try (CSVParser parser = format.parse(reader)) {
			if (!parser.getHeaderNames().equals(COLUMNS)) {
				findings.add("row 1", String.join(",", parser.getHeaderNames()), "is not the header of a sheet",
						"write " + String.join(",", COLUMNS));
				findings.throwIfAny();
			}
			for (CSVRecord row : parser) {
				new Row(row, parser.getCurrentLineNumber(), findings).read(base, services, accounts, seenEntities);
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

		void read(Configuration base, List<ServicePolicy> services, List<ClientAccount> accounts,
				Set<String> seenEntities) {
			if (this.cells.size() != COLUMNS.size()) {
				this.findings.add("row " + this.line, String.join(",", this.cells.toList()),
						"has " + this.cells.size() + " columns", "write " + COLUMNS.size() + " columns");
				return;
			}
			String kind = cell("kind");
			String name = cell("name");
			if (name.isEmpty() || !seenEntities.add(kind + "/" + name)) {
				addFinding("name", "is empty or appears in an earlier row", "name each entity once");
			}
			switch (kind) {
				case "service" -> {
					requireEmpty("rate");
					requireEmpty("burst");
					double headroom = numberFrom("headroom", 0, 0.95);
					services.add(new ServicePolicy(name, base.service(name).capacityFloor(), headroom));
				}
				case "account" -> {
					requireEmpty("headroom");
					if (base.account(name) == null) {
						addFinding("name", "is not a client account", "create it with 'account put' first");
					}
					accounts.add(new ClientAccount(name, numberFrom("rate", 0.001, 1e6), numberFrom("burst", 1, 1e6)));
				}
				default -> addFinding("kind", "is not a kind of entity", "write service or account");
			}
		}

		private String cell(String column) {
			return this.cells.get(COLUMNS.indexOf(column));
		}

		private void requireEmpty(String column) {
			if (!cell(column).isEmpty()) {
				addFinding(column, "has no meaning for kind " + cell("kind"), "leave it empty");
			}
		}

		private double numberFrom(String column, double minimum, double maximum) {
			try {
				double value = Double.parseDouble(cell(column));
				if (value >= minimum && value <= maximum) {
					return value;
				}
			}
			catch (NumberFormatException ex) {
				// The finding below covers this text and numbers outside the range.
			}
			addFinding(column, "is not a number from " + minimum + " to " + maximum,
					"write a number such as " + minimum);
			// The value is not used: a sheet with findings is rejected.
			return minimum;
		}

		private void addFinding(String column, String problem, String suggestion) {
			this.findings.add("row " + this.line + ", column " + column, cell(column), problem, suggestion);
		}

	}

}
