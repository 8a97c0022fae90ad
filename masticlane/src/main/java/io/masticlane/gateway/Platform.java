package io.masticlane.gateway;

import java.net.InetSocketAddress;
import java.util.List;

import io.masticlane.store.SharedState;
import io.netty.channel.EventLoop;

/**
 * A platform that gateways run on, loaded as a service provider from the class path.
 */
public interface Platform {

	/**
	 * Returns the names and formats of the platform.
	 * @return the dialect
	 */
	Dialect dialect();

	/**
	 * Connects to the platform's store.
	 * @param loop the event loop on which calls are made and completed
	 * @param address the address of the store
	 * @return the store
	 */
	SharedState store(EventLoop loop, InetSocketAddress address);

	/**
	 * Returns example documents and messages of the platform.
	 * @return the example
	 */
	Example example();

	/**
	 * Example documents and messages of a platform.
	 */
	interface Example {

		/**
		 * Returns store items with a plan and one backend server.
		 * @param server the address of the backend server
		 * @return the items
		 */
		List<SharedState.Item> items(InetSocketAddress server);

		/**
		 * Returns a request that the plan admits.
		 * @return the request as sent by a caller
		 */
		String request();

		/**
		 * Returns the backend server's response to the request.
		 * @return the response as sent by the server
		 */
		String response();

		/**
		 * Returns a look-up.
		 * @return the look-up as sent by a caller
		 */
		String lookUp();

		/**
		 * Returns a readiness check.
		 * @return the readiness check as sent by the platform
		 */
		String readinessCheck();

	}

}
