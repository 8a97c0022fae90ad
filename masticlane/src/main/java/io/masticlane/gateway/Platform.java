package io.masticlane.gateway;

import java.net.InetSocketAddress;

import io.masticlane.store.SharedState;
import io.netty.channel.EventLoop;

/**
 * A platform that gateways run on, found as a service of the class path.
 */
public interface Platform {

	/**
	 * Returns the names and formats of the platform.
	 * @return the dialect
	 */
	Dialect dialect();

	/**
	 * Connects to the platform's store.
	 * @param loop the event loop on which all calls are made and end
	 * @param address the address of the store
	 * @return the store
	 */
	SharedState store(EventLoop loop, InetSocketAddress address);

}
