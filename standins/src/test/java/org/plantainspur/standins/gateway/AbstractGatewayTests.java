package org.plantainspur.standins.gateway;

import java.io.IOException;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/**
 * Gives each test a {@link GatewayFixture} of its own.
 */
abstract class AbstractGatewayTests {

	GatewayFixture fixture;

	@BeforeEach
	void openFixture() throws IOException {
		this.fixture = new GatewayFixture();
	}

	@AfterEach
	void closeFixture() throws Exception {
		this.fixture.close();
	}

}
