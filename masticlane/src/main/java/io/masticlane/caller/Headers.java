package io.masticlane.caller;

import java.util.Arrays;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * The names of the headers that the entry host reads, sets and removes.
 */
public final class Headers {

	/**
	 * The name of the organisation, set on requests to backend servers.
	 */
	public static final String ORGANISATION = "Masticlane-Organisation";

	/**
	 * The time left until the deadline in milliseconds, in requests of callers and in
	 * requests to backend servers.
	 */
	public static final String DEADLINE_MILLIS = "Deadline-Millis";

	/**
	 * The key that identifies an operation.
	 */
	public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	/**
	 * The identifier of an attempt. A backend server may echo it to confirm which request
	 * a response belongs to.
	 */
	public static final String REQUEST_ID = "Masticlane-Request-Id";

	/**
	 * Whether a refused request has run.
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
	 * Copies the headers of a request that are forwarded to the backend server.
	 * @param source the headers of the request
	 * @param target the headers to add to
	 */
	public static void copyForwarded(HttpHeaders source, HttpHeaders target) {
		Set<String> connectionHeaders = connectionTokens(source);
		source.forEach((header) -> {
			String name = header.getKey().toLowerCase(Locale.ROOT);
			if (!NEVER_FORWARDED.contains(name) && !connectionHeaders.contains(name)) {
				target.add(header.getKey(), header.getValue());
			}
		});
	}

	/**
	 * Removes the headers of a response that apply only to the connection to the backend
	 * server.
	 * @param headers the headers of the response
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
