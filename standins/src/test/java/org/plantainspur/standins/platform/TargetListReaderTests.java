package org.plantainspur.standins.platform;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.Map;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.adapters.platform.PlatformClient;
import org.plantainspur.adapters.platform.TargetListReader;
import org.plantainspur.core.routing.Target;
import org.plantainspur.core.routing.TargetDirectory;
import org.plantainspur.standins.Calls;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Guards against a host that fetches a list it already has, or keeps a list that has
 * changed.
 */
class TargetListReaderTests {

	private PlatformStandIn platform;

	private PlatformClient client;

	private TargetListReader reader;

	private Calls calls;

	@BeforeEach
	void start() throws Exception {
		this.platform = new PlatformStandIn(0);
		String address = "127.0.0.1:" + this.platform.port();
		this.calls = new Calls(address);
		this.client = new PlatformClient("http://" + address, 2000);
		this.reader = new TargetListReader(this.client);
		list("live");
	}

	@AfterEach
	void stop() throws Exception {
		this.client.close();
		this.platform.close();
	}

	private void list(String state) throws Exception {
		this.calls.control("/hosts", "{\"hosts\": [{\"id\": \"t1\", \"kind\": \"target\", \"service\": \"booking\","
				+ " \"address\": \"127.0.0.1:1\", \"state\": \"" + state + "\"}]}");
	}

	private Target only(TargetDirectory directory) {
		assertThat(directory.targets("booking")).hasSize(1);
		return directory.targets("booking").get(0);
	}

	@Nested
	class UnchangedList {

		@Test
		void isNotDecodedAgain() throws Exception {
			TargetDirectory first = TargetListReaderTests.this.reader.read();
			assertThat(TargetListReaderTests.this.reader.read()).isSameAs(first);
		}

		@Test
		void isSentWithoutABody() throws Exception {
			HttpResponse<String> whole = TargetListReaderTests.this.calls.get("/hosts");
			String tag = whole.headers().firstValue("ETag").orElseThrow();
			HttpResponse<String> again = TargetListReaderTests.this.calls.send("GET", "/hosts", "",
					Map.of("If-None-Match", tag), 2000);
			assertThat(again.statusCode()).isEqualTo(304);
			assertThat(again.body()).isEmpty();
		}

	}

	@Nested
	class ChangedList {

		@Test
		void isRead() throws Exception {
			assertThat(only(TargetListReaderTests.this.reader.read()).leaving()).isFalse();
			list("leaving");
			assertThat(only(TargetListReaderTests.this.reader.read()).leaving()).isTrue();
		}

		@Test
		void isReadAfterAnOutage() throws Exception {
			TargetListReaderTests.this.reader.read();
			TargetListReaderTests.this.calls.control("/.control/faults", "{\"unavailable\": \"closed\"}");
			assertThatThrownBy(TargetListReaderTests.this.reader::read).isInstanceOf(IOException.class);
			list("leaving");
			TargetListReaderTests.this.calls.control("/.control/faults", "{}");
			assertThat(only(TargetListReaderTests.this.reader.read()).leaving()).isTrue();
		}

	}

}
