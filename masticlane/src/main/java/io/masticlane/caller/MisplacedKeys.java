package io.masticlane.caller;

import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.masticlane.route.RoutingTable;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.QueryStringDecoder;

/**
 * Detects valid keys where they would be forwarded to a backend server: in the request
 * target and in headers other than {@code Authorization}.
 */
final class MisplacedKeys {

	/**
	 * The number of possible ends of a key that are checked for each dot in a text.
	 */
	private static final int MAXIMUM_CANDIDATES_PER_DOT = 8;

	private MisplacedKeys() {
	}

	static boolean existIn(FullHttpRequest request, RoutingTable table) {
		Stream<String> headers = request.headers()
			.entries()
			.stream()
			.filter((header) -> !header.getKey().equalsIgnoreCase(HttpHeaderNames.AUTHORIZATION.toString()))
			.flatMap((header) -> Stream.of(header.getKey(), header.getValue()));
		return Stream.concat(decodedForms(request.uri()), headers).anyMatch((text) -> containsKey(text, table));
	}

	private static Stream<String> decodedForms(String uri) {
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

	private static boolean containsKey(String text, RoutingTable table) {
		return IntStream.range(1, text.length())
			.filter((index) -> text.charAt(index) == '.')
			.anyMatch((dot) -> isKeyAt(text, dot, table));
	}

	private static boolean isKeyAt(String text, int dot, RoutingTable table) {
		int start = dot;
		while (start > 0 && isIdentifierCharacter(text.charAt(start - 1))) {
			start--;
		}
		String rest = text.substring(start);
		int secretStart = dot - start + 1;
		return secretStart > 1 && IntStream.rangeClosed(secretStart + 1, rest.length())
			.filter((end) -> end == rest.length() || !isIdentifierCharacter(rest.charAt(end)))
			.limit(MAXIMUM_CANDIDATES_PER_DOT)
			.anyMatch((end) -> table.organisation(rest.substring(0, end)).isPresent());
	}

	private static boolean isIdentifierCharacter(char character) {
		return Character.isLetterOrDigit(character) || character == '-' || character == '_';
	}

}
