package org.plantainspur.gateway.peer;

import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.fleet.AccountUsage;
import org.plantainspur.core.fleet.DomainDigest;
import org.plantainspur.core.fleet.HostHeartbeat;
import org.plantainspur.core.store.TableStates;
import org.plantainspur.gateway.log.FailureReporter;
import org.plantainspur.gateway.log.GatewayMetrics;

import static org.assertj.core.api.Assertions.assertThat;

class HeartbeatChannelTests {

	private final EventLoopGroup loops = new NioEventLoopGroup(1);

	@AfterEach
	void shutDown() {
		this.loops.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
	}

	@Nested
	class LargeHeartbeats {

		/**
		 * A heartbeat longer than the receive buffer is truncated and dropped. Hosts that
		 * relay the usage of many accounts would then count as down.
		 */
		@Test
		void aHeartbeatWithTheUsageOfManyAccountsInManyDomainsArrivesWhole() throws Exception {
			Map<String, AccountUsage> usage = new HashMap<>();
			IntStream.range(0, 100).forEach((i) -> usage.put("account-" + i, new AccountUsage(1_000_000 + i, i)));
			List<DomainDigest> digests = IntStream.range(0, 6)
				.mapToObj((i) -> new DomainDigest("domain-" + i, "host-" + i, i, usage, List.of(), List.of()))
				.toList();
			BlockingQueue<HostHeartbeat> received = new LinkedBlockingQueue<>();
			InetSocketAddress receiverAddress = freeAddress();
			HostHeartbeat heartbeat = new HostHeartbeat("a1", 1, "domain-9", "127.0.0.1:80", "127.0.0.1:81", 1, true, 1,
					TableStates.NONE, 1, usage, List.of("account-1"), List.of(), List.of(), digests, List.of(),
					List.of());

			channel(receiverAddress, received::add);
			channel(freeAddress(), (ignored) -> {
			}).send(heartbeat, List.of("127.0.0.1:" + receiverAddress.getPort()));

			HostHeartbeat arrived = received.poll(5, TimeUnit.SECONDS);
			assertThat(arrived).isEqualTo(heartbeat);
		}

		private HeartbeatChannel channel(InetSocketAddress address, Consumer<HostHeartbeat> receiver) {
			FailureReporter failures = new FailureReporter((name, fields) -> {
			}, new GatewayMetrics());
			return new HeartbeatChannel(address, HeartbeatChannelTests.this.loops, receiver, failures, () -> {
			});
		}

		private InetSocketAddress freeAddress() throws Exception {
			try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
				return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
			}
		}

	}

}
