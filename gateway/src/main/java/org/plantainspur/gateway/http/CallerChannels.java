package org.plantainspur.gateway.http;

import io.netty.channel.Channel;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.ChannelMatchers;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;

/**
 * The callers' port and the open connections of callers. Thread-safe.
 */
public final class CallerChannels {

	/** Sent through the pipelines of callers' connections at the end of a stop. */
	static final Object END = new Object();

	private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

	/**
	 * Adds the callers' port or a connection; it is removed when it closes.
	 * @param channel the open channel
	 */
	void add(Channel channel) {
		this.channels.add(channel);
	}

	/**
	 * Closes the callers' port. Returns before it is closed.
	 */
	public void closePort() {
		this.channels.close(ChannelMatchers.isServerChannel());
	}

	/**
	 * Answers the open requests and closes all connections. Returns before the responses
	 * are written.
	 */
	public void endRequests() {
		for (Channel channel : this.channels) {
			channel.pipeline().fireUserEventTriggered(END);
		}
	}

}
