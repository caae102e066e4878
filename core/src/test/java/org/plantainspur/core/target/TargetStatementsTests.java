package org.plantainspur.core.target;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.time.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

class TargetStatementsTests {

	private static final TargetIncarnation TARGET = new TargetIncarnation("i-1", 7);

	private static final TargetStatement LIMITED = TargetStatement.limitedTo(2);

	private final ManualClock clock = new ManualClock();

	private final List<String> changes = new ArrayList<>();

	private final TargetStatements statements = new TargetStatements(this.clock,
			(target, statement, source) -> this.changes.add(target.id() + " " + statement.limited() + " " + source));

	private void receive(TargetStatement statement, long ageMs) {
		this.statements.receive(new TargetStatementReport(TARGET, statement, ageMs));
	}

	/** Guards against a limit that is forgotten while the target still has it. */
	@Nested
	class Limit {

		@Test
		void holdsUntilTheTargetSaysOtherwise() {
			TargetStatementsTests.this.statements.record(TARGET, LIMITED);
			TargetStatementsTests.this.clock.advance(3_600_000);
			TargetStatementsTests.this.statements.removeOld((target) -> true);
			assertThat(TargetStatementsTests.this.statements.of(TARGET)).isEqualTo(LIMITED);
			TargetStatementsTests.this.statements.record(TARGET, TargetStatement.NONE);
			assertThat(TargetStatementsTests.this.statements.of(TARGET)).isEqualTo(TargetStatement.NONE);
			assertThat(TargetStatementsTests.this.changes).containsExactly("i-1 true RESPONSE", "i-1 false RESPONSE");
		}

		@Test
		void endsWithTheIncarnation() {
			TargetStatementsTests.this.statements.record(TARGET, LIMITED);
			TargetIncarnation restarted = new TargetIncarnation("i-1", 8);
			assertThat(TargetStatementsTests.this.statements.of(restarted)).isEqualTo(TargetStatement.NONE);
			TargetStatementsTests.this.clock.advance(TargetStatements.UNLISTED_RETENTION_MS + 1);
			TargetStatementsTests.this.statements.removeOld(restarted::equals);
			assertThat(TargetStatementsTests.this.statements.reports()).isEmpty();
		}

	}

	/**
	 * Guards against a report that arrives late and brings back what the target has
	 * withdrawn, or withdraws what it has said since.
	 */
	@Nested
	class ReportOfAnotherHost {

		@Test
		void isTakenIfItIsNewer() {
			receive(LIMITED, 100);
			assertThat(TargetStatementsTests.this.statements.of(TARGET)).isEqualTo(LIMITED);
			assertThat(TargetStatementsTests.this.changes).containsExactly("i-1 true HOST");
		}

		@Test
		void doesNotReplaceANewerStatement() {
			TargetStatementsTests.this.clock.advance(1_000);
			TargetStatementsTests.this.statements.record(TARGET, LIMITED);
			receive(TargetStatement.NONE, 100);
			assertThat(TargetStatementsTests.this.statements.of(TARGET)).isEqualTo(LIMITED);
		}

		@Test
		void doesNotBringBackAWithdrawnLimit() {
			TargetStatementsTests.this.clock.advance(1_000);
			TargetStatementsTests.this.statements.record(TARGET, LIMITED);
			TargetStatementsTests.this.statements.record(TARGET, TargetStatement.NONE);
			TargetStatementsTests.this.clock.advance(1_000);
			TargetStatementsTests.this.statements.removeOld((target) -> true);
			receive(LIMITED, 1_500);
			assertThat(TargetStatementsTests.this.statements.of(TARGET)).isEqualTo(TargetStatement.NONE);
		}

		@Test
		void tellsTheOthersOfAWithdrawal() {
			TargetStatementsTests.this.statements.record(TARGET, LIMITED);
			TargetStatementsTests.this.statements.record(TARGET, TargetStatement.NONE);
			assertThat(TargetStatementsTests.this.statements.reports())
				.containsExactly(new TargetStatementReport(TARGET, TargetStatement.NONE, 0));
		}

	}

}
