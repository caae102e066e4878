package org.plantainspur.host;

import java.util.Map;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.adapters.settings.SettingsReader;
import org.plantainspur.core.finding.Findings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

/**
 * Guards against invalid settings that are reported one at a time, and against error
 * texts that repeat the fleet secret.
 */
class HostSettingsTests {

	private static Findings.InvalidInputException findings(Map<String, String> environment, String... flags) {
		return catchThrowableOfType(Findings.InvalidInputException.class,
				() -> SettingsReader.of("plantainspur-host", HostSettings::new).read(flags, environment));
	}

	@Nested
	class InvalidSettings {

		@Test
		void areReportedTogetherWithPlaceAndSuggestion() {
			Findings.InvalidInputException thrown = findings(Map.of("PLANTAINSPUR_CALLER_THREADS", "many"), "--region",
					"p d x", "--header-bytes", "10");
			assertThat(thrown.findings()).extracting((finding) -> finding.place())
				.contains("--host-id or PLANTAINSPUR_HOST_ID", "--region", "PLANTAINSPUR_CALLER_THREADS",
						"--header-bytes", "--fleet-secret or PLANTAINSPUR_FLEET_SECRET",
						"--platform-region or PLANTAINSPUR_PLATFORM_REGION");
			assertThat(thrown).hasMessageContaining("outside 1024 to 262144");
		}

	}

	@Nested
	class Secret {

		@Test
		void thatIsMalformedIsNotInTheErrorText() {
			assertThat(findings(Map.of(), "--fleet-secret", "short-one")).hasMessageContaining("--fleet-secret")
				.hasMessageNotContaining("short-one");
		}

		@Test
		void besideAnUnknownFlagIsNotInTheErrorText() {
			assertThat(findings(Map.of(), "--unknown", "--fleet-secret", "a-long-enough-secret"))
				.hasMessageNotContaining("a-long-enough-secret");
		}

	}

}
