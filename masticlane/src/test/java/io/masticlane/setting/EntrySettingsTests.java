package io.masticlane.setting;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

public class EntrySettingsTests {

	private static final Map<String, String> REQUIRED = Map.of("host", "entry-1", "data-centre", "west-1",
			"caller-address", "127.0.0.1:1", "peer-address", "127.0.0.1:2", "operator-address", "127.0.0.1:3",
			"store-address", "127.0.0.1:4");

	@Test
	public void aFlagOverridesTheEnvironmentWhichOverridesTheDefault() {
		Map<String, String> environment = Map.of("MASTICLANE_HOST", "other", "MASTICLANE_DRAIN_MILLIS", "7");
		EntrySettings settings = read(REQUIRED, environment);
		assertEquals(settings.host(), "entry-1");
		assertEquals(settings.drainMillis(), 7);
		assertEquals(settings.heartbeatMillis(), 500);
	}

	@Test
	public void anInvalidValueIsReportedWithItsFlagAndTheExpectedRange() {
		Map<String, String> flags = new HashMap<>(REQUIRED);
		flags.put("heartbeat-millis", "soon");
		SettingException failure = expectThrows(SettingException.class, () -> read(flags, Map.of()));
		assertEquals(failure.getMessage(), "--heartbeat-millis: got 'soon', expected a whole number from 50 to 10000");
	}

	@Test
	public void aMissingValueIsReportedWithItsFlagAndEnvironmentVariable() {
		SettingException failure = expectThrows(SettingException.class, () -> read(Map.of(), Map.of()));
		assertEquals(failure.getMessage(),
				"--host: got '', expected a value here or in the environment variable MASTICLANE_HOST");
	}

	private static EntrySettings read(Map<String, String> flags, Map<String, String> environment) {
		return EntrySettings.from(new SettingSource(EntrySettings.DESCRIPTORS,
				(flag) -> Optional.ofNullable(flags.get(flag)), (name) -> Optional.ofNullable(environment.get(name))));
	}

}
