package io.masticlane.caller;

import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.masticlane.route.RoutingTable;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.QueryStringDecoder;

/**
 * Finds granted keys where they would go on to a backend server: in the target of a
 * request and in headers other than Authorization.
 */
final class MisplacedKeys {

	private static final int MAXIMUM_ENDS = 8;

	private MisplacedKeys() {
	}

	static boolean existIn(FullHttpRequest request, RoutingTable table) {
		Stream<String> headers = request.headers()
			.entries()
			.stream()
			.filter((header) -> !header.getKey().equalsIgnoreCase(HttpHeaderNames.AUTHORIZATION.toString()))
			.flatMap((header) -> Stream.of(header.getKey(), header.getValue()));
		return Stream.concat(target(request.uri()), headers).anyMatch((text) -> holdsKey(text, table));
	}

	private static Stream<String> target(String uri) {
		if (uri.indexOf('%') < 0) {
			return Stream.of(uri);
		}
		try {
			return Stream.of(uri, QueryStringDecoder.decodeComponent(uri));
		}
		catch (IllegalArgumentException ex) {
			return Stream.of(uri);
		}
	}

	private static boolean holdsKey(String text, RoutingTable table) {
		return IntStream.range(1, text.length())
			.filter((index) -> text.charAt(index) == '.')
			.anyMatch((dot) -> keyAround(text, dot, table));
	}

	private static boolean keyAround(String text, int dot, RoutingTable table) {
		int begin = dot;
		while (begin > 0 && ofIdentifier(text.charAt(begin - 1))) {
			begin--;
		}
		String rest = text.substring(begin);
		int secret = dot - begin + 1;
		return secret > 1 && IntStream.rangeClosed(secret + 1, rest.length())
			.filter((end) -> end == rest.length() || !ofIdentifier(rest.charAt(end)))
			.limit(MAXIMUM_ENDS)
			.anyMatch((end) -> table.organisation(rest.substring(0, end)).isPresent());
	}

	private static boolean ofIdentifier(char character) {
		return Character.isLetterOrDigit(character) || character == '-' || character == '_';
	}

}
