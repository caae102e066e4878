package org.plantainspur.operator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.request.KeyHash;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against commands whose report or exit code differs from what happened.
 */
class CommandLineTests {

	private static final String[] PUT_ACCOUNT = { "account", "put", "harbor", "--rate", "10", "--burst", "5" };

	private final FakeFleet fleet = new FakeFleet(3);

	private FakeFleet fleet() {
		return this.fleet;
	}

	@Nested
	class Write {

		@Test
		void reportsTheHostsWhereTheChangeIsInForce() throws IOException {
			assertThat(fleet().run("account", "put", "harbor", "--rate", "10", "--burst", "5", "--output", "json"))
				.isEqualTo(Report.DONE);
			JsonNode report = new ObjectMapper().readTree(fleet().output());
			assertThat(report.path("result").asText()).isEqualTo("accepted");
			assertThat(report.path("inForce")).hasSize(3);
			assertThat(fleet().nudgeCount()).as("members told to read the change").isEqualTo(3);
			assertThat(fleet().clock.millis()).as("wait if all acknowledge").isEqualTo(100);
		}

		@Test
		void waitsForFencingIfOneHostDoesNotAcknowledge() {
			fleet().holdAtSequence("h1", 2);
			assertThat(fleet().run(PUT_ACCOUNT)).isEqualTo(Report.DONE);
			assertThat(fleet().output()).contains("accepted").contains("notYet:\n  h1");
			// The wait of AcceptanceTracker.FENCING_WAIT_MILLIS, after which h1 no longer
			// serves without the change.
			assertThat(fleet().clock.millis()).isGreaterThanOrEqualTo(3110);
		}

		@Test
		void isNotReportedAsAcceptedWithoutAMajority() {
			fleet().holdAtSequence("h1", 2);
			fleet().holdAtSequence("h2", 2);
			assertThat(fleet().run(PUT_ACCOUNT)).isEqualTo(Report.UNKNOWN);
			assertThat(fleet().output()).contains("written, not yet accepted");
		}

		@Test
		void isRefusedIfAnotherOperatorChangedTheEntity() {
			fleet().beforeAppend(() -> fleet().add(new Change.PutAccount(new ClientAccount("harbor", 1, 1))));
			assertThat(fleet().run(PUT_ACCOUNT)).isEqualTo(Report.CONFLICT);
			assertThat(fleet().output()).contains("account/harbor was at version 0 and is now at version 5");
		}

		@Test
		void withALostReplyNamesTheChangeId() {
			fleet().beforeAppend(fleet()::stopPlatform);
			assertThat(fleet().run(PUT_ACCOUNT)).isEqualTo(Report.UNKNOWN);
			assertThat(fleet().output()).contains("changeId: change-4");
		}

		@Test
		void withoutThePlatformFails() {
			fleet().stopPlatform();
			assertThat(fleet().run(PUT_ACCOUNT)).isEqualTo(Report.FAILED);
		}

		@Test
		void withBadNumbersNamesAllOfThem() {
			assertThat(fleet().run("account", "put", "harbor", "--rate", "-1", "--burst", "0"))
				.isEqualTo(Report.BAD_INPUT);
			assertThat(fleet().output()).contains("--rate").contains("--burst");
			assertThat(fleet().entries).hasSize(4);
		}

	}

	@Nested
	class Remove {

		@Test
		void withoutConfirmationWritesNothing() {
			fleet().endProcess("h1");
			assertThat(fleet().run("member", "remove", "h1")).isEqualTo(Report.BAD_INPUT);
			assertThat(fleet().output()).contains("--processes-have-ended").contains("withdrawn key");
			assertThat(fleet().entries).hasSize(4);
		}

		@Test
		void ofAHostThatAnswersWritesNothing() {
			assertThat(fleet().run("member", "remove", "h1", "h9", "--processes-have-ended"))
				.isEqualTo(Report.BAD_INPUT);
			assertThat(fleet().output()).contains("h9").contains("is not a member");
			assertThat(fleet().run("member", "remove", "h1", "--processes-have-ended")).isEqualTo(Report.BAD_INPUT);
			assertThat(fleet().output()).contains("still answers at its admin address");
			assertThat(fleet().entries).hasSize(4);
		}

		@Test
		void ofTheLostMajorityIsAcceptedByTheRest() {
			fleet().endProcess("h1");
			fleet().endProcess("h2");
			assertThat(fleet().run(PUT_ACCOUNT)).as("a change without a majority").isEqualTo(Report.UNKNOWN);
			assertThat(fleet().run("member", "remove", "h1", "h2", "--processes-have-ended")).isEqualTo(Report.DONE);
			assertThat(fleet().configuration().membership().members()).extracting("hostId").containsExactly("h0");
			assertThat(fleet().run(PUT_ACCOUNT)).isEqualTo(Report.DONE);
		}

	}

	@Nested
	class Key {

		@Test
		void isShownEvenIfThePlatformFailsAfterTheWrite() {
			fleet().run(PUT_ACCOUNT);
			fleet().stopPlatformAfterAppend();
			assertThat(fleet().run("key", "issue", "harbor")).isEqualTo(Report.UNKNOWN);
			assertThat(fleet().output()).contains("written, acceptance not checked").contains("key: ");
		}

		@Test
		void isShownOnceAndStoredAsAHash() throws IOException {
			fleet().run(PUT_ACCOUNT);
			assertThat(fleet().run("key", "issue", "harbor", "--output", "json")).isEqualTo(Report.DONE);
			String key = new ObjectMapper().readTree(fleet().output()).path("key").asText();
			assertThat(key).hasSize(43);
			assertThat(fleet().configuration().accountOfKey(KeyHash.of(key))).isNotNull();
			assertThat(fleet().entries.toString()).doesNotContain(key);
			fleet().run("key", "list", "harbor");
			assertThat(fleet().output()).contains(KeyHash.of(key)).doesNotContain(key);
			assertThat(fleet().run("key", "withdraw", KeyHash.of(key))).isEqualTo(Report.DONE);
			assertThat(fleet().configuration().accountOfKey(KeyHash.of(key))).isNull();
		}

		@Test
		void cannotBeIssuedForAnUnknownAccount() {
			assertThat(fleet().run("key", "issue", "nobody")).isEqualTo(Report.BAD_INPUT);
		}

	}

	@Nested
	class PlannersSheet {

		@TempDir
		private Path folder;

		private String file(String content) throws IOException {
			return Files.writeString(this.folder.resolve("sheet.csv"), "kind,name,headroom,rate,burst\n" + content)
				.toString();
		}

		@Test
		void withInvalidCellsIsNotAppliedAndEveryCellIsNamed() throws IOException {
			fleet().run(PUT_ACCOUNT);
			int before = fleet().entries.size();
			assertThat(fleet().run("sheet", "apply", file("""
					service,booking,0.2,,
					service,offers,2,5,
					account,nobody,,x,4
					team,a,,,
					"""))).isEqualTo(Report.BAD_INPUT);
			assertThat(fleet().output()).contains("row 3, column headroom", "row 3, column rate", "row 4, column name",
					"row 4, column rate", "row 5, column kind");
			assertThat(fleet().entries).hasSize(before);
		}

		@Test
		void checkShowsWhatApplyChanges() throws IOException {
			fleet().run(PUT_ACCOUNT);
			int before = fleet().entries.size();
			String file = file("service,booking,0.25,,\naccount,harbor,,120,5\nservice,offers,0.1,,\n");
			assertThat(fleet().run("sheet", "check", file)).isEqualTo(Report.DONE);
			String differences = fleet().output();
			assertThat(differences).contains("headroom 0.1 -> 0.25", "rate 10.0 -> 120.0").doesNotContain("offers");
			assertThat(fleet().entries).hasSize(before);
			assertThat(fleet().run("sheet", "apply", file)).isEqualTo(Report.DONE);
			assertThat(fleet().output()).contains(differences);
			assertThat(fleet().configuration().service("booking").headroom()).isEqualTo(0.25);
		}

	}

	@Nested
	class Explanation {

		@Test
		void namesEachFieldAndTheEvidenceAsText() {
			assertThat(fleet().run("explain", "target", "booking-1")).isEqualTo(Report.DONE);
			assertThat(fleet().output()).contains("h0:\n  hostId: h0\n")
				.contains("  reason: " + FakeFleet.EVIDENCE + "\n");
		}

		@Test
		void hasTheEvidenceOfEveryHostAsJson() throws IOException {
			fleet().run("explain", "target", "booking-1", "--output", "json");
			JsonNode report = new ObjectMapper().readTree(fleet().output());
			assertThat(report).hasSize(3)
				.allSatisfy((host) -> assertThat(host.path("reason").asText()).isEqualTo(FakeFleet.EVIDENCE));
		}

	}

	/**
	 * Guards against route, floor, status and explain commands that have no effect or do
	 * not show the state, and against an unknown command that is accepted.
	 */
	@Nested
	class OtherCommands {

		@Test
		void changeAndShowTheState() {
			assertThat(fleet().run("route", "put", "read", "--path", "/booking", "--service", "booking"))
				.isEqualTo(Report.DONE);
			fleet().run("route", "list");
			assertThat(fleet().output()).contains("/booking");
			assertThat(fleet().run("floor", "set", "booking", "0.6")).isEqualTo(Report.DONE);
			assertThat(fleet().configuration().service("booking").capacityFloor()).isEqualTo(0.6);
			fleet().holdAtSequence("h2", 1);
			assertThat(fleet().run("status")).isEqualTo(Report.DONE);
			assertThat(fleet().output()).contains("h2: sequence 1, current");
			assertThat(fleet().run("explain", "target", "booking-1")).isEqualTo(Report.DONE);
			assertThat(fleet().output()).contains("/explain/target/booking-1");
			assertThat(fleet().run("route", "remove", "read")).isEqualTo(Report.DONE);
			assertThat(fleet().configuration().routes()).isEmpty();
			assertThat(fleet().run("nonsense")).isEqualTo(Report.BAD_INPUT);
		}

	}

}
