package io.masticlane.gateway;

import java.net.InetSocketAddress;
import java.util.List;

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

	/**
	 * Returns an example of what is written and said on the platform.
	 * @return the example
	 */
	Example example();

	/**
	 * An example of what is written and said on a platform.
	 */
	interface Example {

		/**
		 * Returns the items of a store with a plan and one backend server.
		 * @param server the address of the backend server
		 * @return the items
		 */
		List<SharedState.Item> items(InetSocketAddress server);

		/**
		 * Returns a request that the plan allows.
		 * @return the request as sent by a caller
		 */
		String request();

		/**
		 * Returns the backend server's answer to the request.
		 * @return the answer as sent by the server
		 */
		String response();

		/**
		 * Returns a look-up.
		 * @return the look-up as sent by a caller
		 */
		String lookUp();

		/**
		 * Returns a question for readiness.
		 * @return the question as sent by the platform
		 */
		String readinessCheck();

	}

}
