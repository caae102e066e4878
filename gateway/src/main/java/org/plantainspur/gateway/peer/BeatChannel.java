package org.plantainspur.gateway.peer;

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

/**
 * Sends and takes beats in UDP datagrams. Beats repeat several times a second, so a lost
 * one needs no answer, and there is no connection that could go silent.
 */
public final class BeatChannel {

	/**
	 * The largest datagram. A longer one than the buffer would be cut, and a beat that
	 * carries the usage of a hundred accounts in six failure domains takes 15 KB.
	 */
	private static final int RECEIVE_BUFFER_BYTES = 65_535;

	private final BeatCodec codec = new BeatCodec();

	private final Channel channel;

	/**
	 * Begins to listen.
	 * @param address where
	 * @param loops the event loops that serve
	 * @param heard told of each beat
	 */
	public BeatChannel(InetSocketAddress address, EventLoopGroup loops, Consumer<HostHeartbeat> heard) {
		this.channel = new Bootstrap().group(loops)
			.channel(NioDatagramChannel.class)
			.option(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(RECEIVE_BUFFER_BYTES))
			.handler(new SimpleChannelInboundHandler<DatagramPacket>() {

				@Override
				protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
					HostHeartbeat beat = BeatChannel.this.codec.decode(ByteBufUtil.getBytes(packet.content()));
					if (beat != null) {
						heard.accept(beat);
					}
				}

				@Override
				public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
					// A destination that is down may answer by ICMP; the next beat finds
					// out.
				}

			})
			.bind(address)
			.syncUninterruptibly()
			.channel();
	}

	/**
	 * Sends a beat.
	 * @param beat the beat
	 * @param addresses where to, {@code ip:port}
	 */
	public void send(HostHeartbeat beat, Iterable<String> addresses) {
		byte[] bytes = this.codec.encode(beat);
		for (String address : addresses) {
			int colon = address.lastIndexOf(':');
			this.channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes),
					new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)))),
					this.channel.voidPromise());
		}
		this.channel.flush();
	}

}
