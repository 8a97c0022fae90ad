package io.masticlane.setting;

import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Looks up and validates the values of settings. A flag overrides the environment
 * variable, which overrides the default value.
 */
public final class SettingSource {

	private static final int MAXIMUM_PORT = 65535;

	private final Map<String, Setting> settings;

	private final Function<String, Optional<String>> flags;

	private final Function<String, Optional<String>> environment;

	/**
	 * Creates a new source.
	 * @param settings the known settings
	 * @param flags returns the value of a flag
	 * @param environment returns the value of an environment variable
	 */
	public SettingSource(List<Setting> settings, Function<String, Optional<String>> flags,
			Function<String, Optional<String>> environment) {
		this.settings = settings.stream().collect(Collectors.toUnmodifiableMap(Setting::flag, Function.identity()));
		this.flags = flags;
		this.environment = environment;
	}

	String string(String flag) {
		return value(flag);
	}

	InetSocketAddress address(String flag) {
		return parseAddress(flag, value(flag));
	}

	List<InetSocketAddress> addresses(String flag) {
		return Arrays.stream(value(flag).split(","))
			.map(String::trim)
			.filter((text) -> !text.isEmpty())
			.map((text) -> parseAddress(flag, text))
			.toList();
	}

	int integer(String flag) {
		Setting setting = this.settings.get(flag);
		String text = value(flag);
		String expected = "a whole number from " + setting.minimum() + " to " + setting.maximum();
		try {
			long number = Long.parseLong(text);
			if (number < setting.minimum() || number > setting.maximum()) {
				throw new SettingException(flag, text, expected);
			}
			return (int) number;
		}
		catch (NumberFormatException ex) {
			throw new SettingException(flag, text, expected);
		}
	}

	double decimal(String flag) {
		String text = value(flag);
		try {
			double number = Double.parseDouble(text);
			if (number >= 0 && Double.isFinite(number)) {
				return number;
			}
		}
		catch (NumberFormatException ex) {
			throw new SettingException(flag, text, "a number of at least 0");
		}
		throw new SettingException(flag, text, "a number of at least 0");
	}

	private String value(String flag) {
		Setting setting = this.settings.get(flag);
		return this.flags.apply(flag)
			.or(() -> this.environment.apply(setting.environmentVariable()))
			.or(() -> Optional.ofNullable(setting.defaultValue()))
			.orElseThrow(() -> new SettingException(flag, "",
					"a value here or in the environment variable " + setting.environmentVariable()));
	}

	/**
	 * Parses an address.
	 * @param flag the flag to name in an error
	 * @param text the text to parse
	 * @return the address
	 */
	public static InetSocketAddress parseAddress(String flag, String text) {
		int colon = text.lastIndexOf(':');
		try {
			int port = Integer.parseInt(text.substring(colon + 1));
			if (colon > 0 && port >= 0 && port <= MAXIMUM_PORT) {
				return new InetSocketAddress(text.substring(0, colon), port);
			}
		}
		catch (NumberFormatException ex) {
			throw new SettingException(flag, text, "an address such as 127.0.0.1:8080");
		}
		throw new SettingException(flag, text, "an address such as 127.0.0.1:8080");
	}

}
