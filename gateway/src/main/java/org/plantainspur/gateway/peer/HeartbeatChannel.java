package org.plantainspur.gateway.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;

import org.plantainspur.core.fleet.HostHeartbeat;
import org.plantainspur.gateway.IpAddressAndPort;
import org.plantainspur.gateway.log.FailureReporter;

/**
 * Sends and receives heartbeats in UDP datagrams. Heartbeats are sent at regular
 * intervals, so a lost one need not be sent again, and there is no connection that could
 * fail unnoticed.
 */
public final class HeartbeatChannel {

	/**
	 * The size of the largest datagram. A datagram that is longer than the buffer would
	 * be truncated, and a heartbeat with the usage of a hundred accounts in six failure
	 * domains takes 15 KB.
	 */
	private static final int RECEIVE_BUFFER_BYTES = 65_535;

	private final HeartbeatCodec codec = new HeartbeatCodec();

	private final Channel channel;

	/**
	 * Binds the port; blocks until it is bound.
	 * @param address the address to send from and to receive at
	 * @param eventLoops the event loops that receive and send
	 * @param receiver handles each heartbeat, on an event loop
	 * @param failures told when the receiver fails
	 * @param onMalformed runs for each datagram that is not a heartbeat
	 */
	public HeartbeatChannel(InetSocketAddress address, EventLoopGroup eventLoops, Consumer<HostHeartbeat> receiver,
			FailureReporter failures, Runnable onMalformed) {
		this.channel = new Bootstrap().group(eventLoops)
			.channel(NioDatagramChannel.class)
			.option(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(RECEIVE_BUFFER_BYTES))
			.handler(new SimpleChannelInboundHandler<DatagramPacket>() {

				@Override
				protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
					HostHeartbeat heartbeat = HeartbeatChannel.this.codec
						.decode(ByteBufUtil.getBytes(packet.content()));
					if (heartbeat != null) {
						failures.run("receive-heartbeat", () -> receiver.accept(heartbeat));
					}
					else {
						onMalformed.run();
					}
				}

				@Override
				public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
					// ICMP may report that a receiver is down; the next heartbeat is sent
					// to it all the same.
					if (!(cause instanceof IOException)) {
						failures.failed("heartbeat-channel", cause);
					}
				}

			})
			.bind(address)
			.syncUninterruptibly()
			.channel();
	}

	/**
	 * Sends a heartbeat.
	 * @param heartbeat the heartbeat
	 * @param addresses the peer addresses of the receivers, {@code ip:port}; others are
	 * left out
	 */
	public void send(HostHeartbeat heartbeat, Iterable<String> addresses) {
		byte[] encoded = this.codec.encode(heartbeat);
		for (String address : addresses) {
			InetSocketAddress receiver = IpAddressAndPort.parse(address);
			if (receiver != null) {
				this.channel.write(new DatagramPacket(Unpooled.wrappedBuffer(encoded), receiver),
						this.channel.voidPromise());
			}
		}
		this.channel.flush();
	}

}
