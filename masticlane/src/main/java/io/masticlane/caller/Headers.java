package io.masticlane.caller;

import java.util.Arrays;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * The names of the headers that the entry host reads and sets, and those that it removes.
 */
public final class Headers {

	/**
	 * Names the organisation towards backend servers.
	 */
	public static final String ORGANISATION = "Masticlane-Organisation";

	/**
	 * Carries the milliseconds left until the deadline, in both directions.
	 */
	public static final String DEADLINE_MILLIS = "Deadline-Millis";

	/**
	 * Names an operation.
	 */
	public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	/**
	 * Identifies an attempt; a backend server that echoes it proves whose answer it
	 * gives.
	 */
	public static final String REQUEST_ID = "Masticlane-Request-Id";

	/**
	 * Tells whether a refused request ran.
	 */
	public static final String OUTCOME = "Request-Outcome";

	private static final Set<String> HOP_BY_HOP = Set.of("connection", "keep-alive", "proxy-authenticate",
			"proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "proxy-connection", "expect");

	private static final Set<String> NEVER_FORWARDED = Stream
		.concat(HOP_BY_HOP.stream(),
				Stream.of("authorization", ORGANISATION, DEADLINE_MILLIS, REQUEST_ID, "content-length", "host"))
		.map((name) -> name.toLowerCase(Locale.ROOT))
		.collect(Collectors.toUnmodifiableSet());

	private Headers() {
	}

	/**
	 * Copies the headers of a request that go on to the backend server.
	 * @param source the headers of the request
	 * @param target the headers to add to
	 */
	public static void copyForwarded(HttpHeaders source, HttpHeaders target) {
		Set<String> named = connectionTokens(source);
		source.forEach((header) -> {
			String name = header.getKey().toLowerCase(Locale.ROOT);
			if (!NEVER_FORWARDED.contains(name) && !named.contains(name)) {
				target.add(header.getKey(), header.getValue());
			}
		});
	}

	/**
	 * Removes the headers of an answer that concern the backend connection alone.
	 * @param headers the headers of the answer
	 */
	public static void removeHopByHop(HttpHeaders headers) {
		connectionTokens(headers).forEach(headers::remove);
		HOP_BY_HOP.stream().filter((name) -> !name.equals("transfer-encoding")).forEach(headers::remove);
		headers.remove(REQUEST_ID);
	}

	private static Set<String> connectionTokens(HttpHeaders headers) {
		return headers.getAll("Connection")
			.stream()
			.flatMap((value) -> Arrays.stream(value.split(",")))
			.map((token) -> token.trim().toLowerCase(Locale.ROOT))
			.filter((token) -> !token.isEmpty())
			.collect(Collectors.toSet());
	}

}
