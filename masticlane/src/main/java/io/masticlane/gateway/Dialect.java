package io.masticlane.gateway;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import io.masticlane.placement.ServerLoad;
import io.masticlane.plan.TrafficPlan;
import io.masticlane.registry.RegisteredServer;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

/**
 * The names and formats of a platform for callers, backend servers and operators.
 */
public interface Dialect {

	/**
	 * Parses a look-up of entry hosts.
	 * @param uri the target of a request
	 * @return the look-up, or empty if the request is no look-up
	 */
	Optional<LookUp> lookUp(String uri);

	/**
	 * Returns whether a request is a readiness check.
	 * @param uri the target of the request
	 * @return whether it is a readiness check
	 */
	boolean isReadinessCheck(String uri);

	/**
	 * Formats the response to a look-up.
	 * @param addresses the addresses that callers connect to
	 * @param ttlSeconds how long the caller may cache the response, in seconds
	 * @return the body in UTF-8
	 */
	byte[] lookUpResponse(List<InetSocketAddress> addresses, double ttlSeconds);

	/**
	 * Parses the headers of a request.
	 * @param headers the headers
	 * @return the values of the headers
	 */
	CallerRequest request(HttpHeaders headers);

	/**
	 * Converts the headers of a caller's request into those for a backend server.
	 * @param headers the headers, which are modified
	 * @param forwarding the values for the backend server
	 */
	void forward(HttpHeaders headers, Forwarding forwarding);

	/**
	 * Parses the head of a backend server's response.
	 * @param response the response
	 * @return the values of the head
	 */
	ServerResponse response(HttpResponse response);

	/**
	 * Parses the head of a response to a health check.
	 * @param response the response
	 * @return the state of the server that responded, or empty if the response names no
	 * server
	 */
	Optional<ServerHealth> health(HttpResponse response);

	/**
	 * Parses a plan.
	 * @param document the document that operators wrote
	 * @return the plan
	 * @throws IllegalArgumentException if the document is no valid plan
	 */
	TrafficPlan plan(byte[] document);

	/**
	 * Parses the entry of a backend server.
	 * @param id the identifier of the server
	 * @param document the entry
	 * @return the server
	 * @throws IllegalArgumentException if the entry describes no usable server
	 */
	RegisteredServer server(String id, byte[] document);

	/**
	 * Classifies a key of the store.
	 * @param key the key
	 * @return the kind of its item and the name in the key
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
	 * The values in the headers of a request.
	 *
	 * @param id the identifier of the attempt, or an empty string if it has none or
	 * several
	 * @param object the affinity key of the request, if it has one
	 * @param timeoutMillis how long the caller waits, in milliseconds
	 * @param key the API key of the caller, if it sent one
	 */
	record CallerRequest(String id, Optional<String> object, long timeoutMillis, Optional<String> key) {

		/**
		 * The timeout for a request without a timeout header, in milliseconds.
		 */
		public static final long DEFAULT_TIMEOUT_MILLIS = 30_000;

	}

	/**
	 * The values that a forwarded request carries for the backend server.
	 *
	 * @param serverId the identifier of the target server
	 * @param timeoutMillis the remaining time, in milliseconds
	 * @param organisation the organisation of the caller, if its key names one
	 */
	record Forwarding(String serverId, long timeoutMillis, Optional<String> organisation) {
	}

	/**
	 * The values in the head of a backend server's response.
	 *
	 * @param id the identifier of the attempt that the response is for, if it has one
	 * @param signed whether the response carries the signature of the server
	 * @param notRun whether the server reports that it did not run the request
	 * @param encoded whether the body was encoded after the server created it
	 * @param load the load of the server and the speed of its machine
	 * @param leaving whether the server announces that it is leaving
	 * @param pauseMillis how long the server wants no further requests from this gateway,
	 * in milliseconds, or zero
	 */
	record ServerResponse(Optional<String> id, boolean signed, boolean notRun, boolean encoded, ServerLoad load,
			boolean leaving, long pauseMillis) {
	}

	/**
	 * The state of a server as its response to a health check reports it.
	 *
	 * @param serverId the identifier of the server
	 * @param coldMillis how long the server remains cold, in milliseconds, zero if it is
	 * not cold, or empty if the response does not tell it
	 */
	record ServerHealth(String serverId, OptionalLong coldMillis) {
	}

	/**
	 * A classified key of the store.
	 *
	 * @param kind the kind of the item
	 * @param name the name of the server or data centre, or an empty string
	 */
	record StoreKey(Kind kind, String name) {

		/**
		 * The kind of an item.
		 */
		public enum Kind {

			/**
			 * The plan of the operators.
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
			 * Any other item.
			 */
			OTHER

		}

	}

}
