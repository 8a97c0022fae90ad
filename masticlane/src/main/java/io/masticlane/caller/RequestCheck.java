package io.masticlane.caller;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.masticlane.configuration.Organisation;
import io.masticlane.configuration.Route;
import io.masticlane.failure.ErrorKind;
import io.masticlane.operation.Operation;
import io.masticlane.route.RoutingTable;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;

/**
 * The route, organisation, operation and deadline of a request, or the reason to refuse
 * it.
 *
 * @param problem the reason to refuse the request, or empty if it is valid
 * @param match the route and its service, or {@code null} if no route was found
 * @param organisation the name of the organisation whose key the request carries, or an
 * empty string
 * @param operation the operation that the request names, or {@link Operation#NONE}
 * @param allowedNanos the time until the deadline, in nanoseconds
 */
record RequestCheck(Optional<ErrorKind> problem, RoutingTable.Match match, String organisation, Operation operation,
		long allowedNanos) {

	private static final String BEARER_PREFIX = "Bearer ";

	static RequestCheck of(FullHttpRequest request, EntryServices services) {
		RoutingTable table = services.table().get();
		if (services.stopping().getAsBoolean()) {
			return refused(ErrorKind.SHUTTING_DOWN);
		}
		if (table == null) {
			return refused(ErrorKind.NOT_READY);
		}
		return table.match(request.method().name(), path(request))
			.map((match) -> checkKeys(request, services, table, match))
			.orElse(refused(ErrorKind.NO_ROUTE));
	}

	/**
	 * Returns whether the key of the request is granted to the same organisation in
	 * another routing table.
	 */
	boolean isKeyGranted(FullHttpRequest request, RoutingTable table) {
		return this.organisation.isEmpty()
				|| bearerToken(request.headers().get(HttpHeaderNames.AUTHORIZATION, "")).flatMap(table::organisation)
					.filter((matching) -> matching.name().equals(this.organisation))
					.isPresent();
	}

	boolean hasKey() {
		return !this.organisation.isEmpty();
	}

	/**
	 * Returns whether a request has an idempotency key, well-formed or not.
	 */
	static boolean hasIdempotencyKey(FullHttpRequest request) {
		return request.headers().contains(Headers.IDEMPOTENCY_KEY);
	}

	private static RequestCheck checkKeys(FullHttpRequest request, EntryServices services, RoutingTable table,
			RoutingTable.Match match) {
		if (MisplacedKeys.existIn(request, table)) {
			return refused(ErrorKind.KEY_MISPLACED).withMatch(match);
		}
		if (match.route().access() == Route.Access.OPEN) {
			return checkOperation(request, match, "");
		}
		if (services.stale().getAsBoolean()) {
			return refused(ErrorKind.STALE).withMatch(match);
		}
		List<String> authorizations = request.headers().getAll(HttpHeaderNames.AUTHORIZATION);
		if (authorizations.isEmpty()) {
			return refused(ErrorKind.KEY_MISSING).withMatch(match);
		}
		Optional<Organisation> matching = (authorizations.size() == 1)
				? bearerToken(authorizations.get(0)).flatMap(table::organisation) : Optional.empty();
		return matching.map((organisation) -> checkOperation(request, match, organisation.name()))
			.orElse(refused(ErrorKind.KEY_REFUSED).withMatch(match));
	}

	private static RequestCheck checkOperation(FullHttpRequest request, RoutingTable.Match match, String organisation) {
		Operation operation = operation(request, organisation);
		Optional<ErrorKind> problem = (match.route().idempotent() || operation.hasKey()) ? Optional.empty()
				: Optional.of(ErrorKind.OPERATION_KEY_MISSING);
		return new RequestCheck(problem, match, organisation, operation, allowedNanos(request, match.route()));
	}

	private static Operation operation(FullHttpRequest request, String organisation) {
		List<String> values = request.headers().getAll(Headers.IDEMPOTENCY_KEY);
		boolean wellFormed = values.size() == 1 && values.get(0).matches("[!-~]{1,200}");
		return wellFormed ? Operation.of(organisation, values.get(0), fingerprint(request)) : Operation.NONE;
	}

	private static long fingerprint(FullHttpRequest request) {
		long head = (request.method().name() + " " + request.uri()).hashCode();
		return (head << Integer.SIZE) ^ (request.content().hashCode() & 0xFFFFFFFFL);
	}

	private static Optional<String> bearerToken(String value) {
		return value.regionMatches(true, 0, BEARER_PREFIX, 0, BEARER_PREFIX.length())
				? Optional.of(value.substring(BEARER_PREFIX.length()).trim()) : Optional.empty();
	}

	private static long allowedNanos(FullHttpRequest request, Route route) {
		String requested = request.headers().get(Headers.DEADLINE_MILLIS, "");
		long millis = requested.matches("[0-9]{1,9}") ? Math.min(route.deadlineMillis(), Long.parseLong(requested))
				: route.deadlineMillis();
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

	private static String path(FullHttpRequest request) {
		int query = request.uri().indexOf('?');
		return (query >= 0) ? request.uri().substring(0, query) : request.uri();
	}

	private static RequestCheck refused(ErrorKind kind) {
		return new RequestCheck(Optional.of(kind), null, "", Operation.NONE, 0);
	}

	private RequestCheck withMatch(RoutingTable.Match match) {
		return new RequestCheck(this.problem, match, this.organisation, this.operation, this.allowedNanos);
	}

}
