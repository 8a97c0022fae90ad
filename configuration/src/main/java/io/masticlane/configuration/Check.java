package io.masticlane.configuration;

import java.util.Collection;
import java.util.List;
import java.util.function.Function;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Validates the values of configuration fields.
 */
final class Check {

	private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?");

	private static final int MAXIMUM_PORT = 65535;

	private Check() {
	}

	static String name(String field, String value) {
		if (value == null || !NAME.matcher(value).matches()) {
			throw new ConfigurationException(field, value, "1 to 64 lower-case letters, digits and inner hyphens");
		}
		return value;
	}

	static String address(String field, String value) {
		int colon = (value != null) ? value.lastIndexOf(':') : -1;
		if (colon <= 0 || !value.substring(colon + 1).matches("[0-9]{1,5}")
				|| Integer.parseInt(value.substring(colon + 1)) > MAXIMUM_PORT) {
			throw new ConfigurationException(field, value, "an IP address and port such as 127.0.0.1:8080");
		}
		return value;
	}

	static double positive(String field, double value) {
		if (!(value > 0) || Double.isInfinite(value)) {
			throw new ConfigurationException(field, value, "a number above 0");
		}
		return value;
	}

	static int atLeast(String field, int value, int minimum) {
		if (value < minimum) {
			throw new ConfigurationException(field, value, "a whole number of at least " + minimum);
		}
		return value;
	}

	static <T> T notNull(String field, T value) {
		if (value == null) {
			throw new ConfigurationException(field, null, "a value");
		}
		return value;
	}

	static <T> List<T> listOrEmpty(List<T> values) {
		return (values != null) ? List.copyOf(values) : List.of();
	}

	static <T> void unique(String field, Collection<T> values, Function<T, String> key) {
		values.stream()
			.collect(Collectors.groupingBy(key, Collectors.counting()))
			.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() > 1)
			.findFirst()
			.ifPresent((entry) -> {
				throw new ConfigurationException(field, entry.getKey(), "each name only once");
			});
	}

	static <T> void knownName(String field, String value, Collection<T> values, Function<T, String> key) {
		if (values.stream().map(key).noneMatch((each) -> each.equals(value))) {
			throw new ConfigurationException(field, value,
					"one of " + values.stream().map(key).limit(10).collect(Collectors.joining(", "))
							+ ((values.size() > 10) ? ", …" : ""));
		}
	}

}
