package io.masticlane.gateway;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;

import io.masticlane.plan.TrafficPlan;
import io.masticlane.registry.RegisteredServer;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

/**
 * The names and formats that callers, backend servers and operators use on a platform.
 */
public interface Dialect {

	/**
	 * Reads a look-up of entry hosts.
	 * @param uri the target of a request
	 * @return the look-up, or nothing if the request asks for something else
	 */
	Optional<LookUp> lookUp(String uri);

	/**
	 * Returns whether a request asks for readiness.
	 * @param uri the target of the request
	 * @return whether it asks for readiness
	 */
	boolean isReadinessCheck(String uri);

	/**
	 * Prints the answer to a look-up.
	 * @param addresses the addresses for callers
	 * @param ttlSeconds how long the caller may keep the answer, in seconds
	 * @return the body in UTF-8
	 */
	byte[] lookUpResponse(List<InetSocketAddress> addresses, double ttlSeconds);

	/**
	 * Reads what a caller tells in the headers of a request.
	 * @param headers the headers
	 * @return what the caller tells
	 */
	CallerRequest request(HttpHeaders headers);

	/**
	 * Changes a caller's headers into those for a backend server.
	 * @param headers the headers to change
	 * @param forwarding what the backend server is to know
	 */
	void forward(HttpHeaders headers, Forwarding forwarding);

	/**
	 * Reads what a backend server tells in the head of an answer.
	 * @param answer the answer
	 * @return what the backend server tells
	 */
	ServerResponse response(HttpResponse answer);

	/**
	 * Reads a plan.
	 * @param document the document of the operators
	 * @return the plan
	 * @throws IllegalArgumentException if the document holds no plan
	 */
	TrafficPlan plan(byte[] document);

	/**
	 * Reads the entry of a backend server.
	 * @param id the identifier of the server
	 * @param document the entry
	 * @return the server
	 * @throws IllegalArgumentException if the entry names no server to use
	 */
	RegisteredServer server(String id, byte[] document);

	/**
	 * Tells what a key of the store holds.
	 * @param key the key
	 * @return what the key holds
	 */
	StoreKey key(String key);

	/**
	 * A look-up of entry hosts.
	 *
	 * @param region the region of the caller
	 * @param dataCentre the data centre of the caller
	 */
	record LookUp(String region, String dataCentre) {
	}

	/**
	 * What a caller tells of its request.
	 *
	 * @param id the identifier of the attempt
	 * @param object the object that the request concerns, if it names one
	 * @param timeoutMillis how long the caller waits, in milliseconds
	 * @param key the key of the caller, if there is one
	 */
	record CallerRequest(String id, Optional<String> object, long timeoutMillis, Optional<String> key) {

		/**
		 * The timeout of a caller that tells none, in milliseconds.
		 */
		public static final long DEFAULT_TIMEOUT_MILLIS = 30_000;

	}

	/**
	 * What a backend server is to know of a request.
	 *
	 * @param serverId the identifier of the server that is to run it
	 * @param timeoutMillis the time that is left, in milliseconds
	 * @param organisation the organisation of the caller, if its key names one
	 */
	record Forwarding(String serverId, long timeoutMillis, Optional<String> organisation) {
	}

	/**
	 * What a backend server tells of an answer.
	 *
	 * @param id the identifier of the attempt that it answers, if told
	 * @param signed whether the server vouches for the answer
	 * @param notRun whether the server says that it did not run the request
	 * @param encoded whether the body is not the one that the server made
	 * @param load the requests that the server runs and queues, or -1
	 */
	record ServerResponse(Optional<String> id, boolean signed, boolean notRun, boolean encoded, int load) {
	}

	/**
	 * What a key of the store holds.
	 *
	 * @param kind the kind of the item
	 * @param name the name of the server or data centre, or an empty text
	 */
	record StoreKey(Kind kind, String name) {

		/**
		 * The kinds of items.
		 */
		public enum Kind {

			/**
			 * The operators' plan.
			 */
			PLAN,

			/**
			 * The evacuation of a data centre.
			 */
			EVACUATION,

			/**
			 * The entry of a backend server.
			 */
			SERVER,

			/**
			 * Anything else.
			 */
			OTHER

		}

	}

}
