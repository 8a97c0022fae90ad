package io.masticlane.setting;

import java.lang.reflect.RecordComponent;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * The names of the settings that changed.
 *
 * @param inForce the names of those that are in force at once
 * @param nextStart the names of those that wait for the next start
 */
public record SettingsChange(List<String> inForce, List<String> nextStart) {

	private static final Set<String> LIVE = Set.of("regions", "maximum-descriptors", "grace-seconds",
			"maximum-ttl-seconds", "retry-ratio", "retry-slack", "cold-overshoot", "cold-slack");

	/**
	 * Compares settings.
	 * @param former the settings in force
	 * @param newer the settings that were read
	 * @return the change
	 */
	public static SettingsChange between(GatewaySettings former, GatewaySettings newer) {
		RecordComponent[] components = GatewaySettings.class.getRecordComponents();
		List<String> changed = IntStream.range(0, components.length)
			.filter((index) -> !value(components[index], former).equals(value(components[index], newer)))
			.mapToObj((index) -> GatewaySettings.DESCRIPTORS.get(index).flag())
			.toList();
		return new SettingsChange(changed.stream().filter(LIVE::contains).toList(),
				changed.stream().filter((name) -> !LIVE.contains(name)).toList());
	}

	private static Object value(RecordComponent component, GatewaySettings settings) {
		try {
			return component.getAccessor().invoke(settings);
		}
		catch (ReflectiveOperationException ex) {
			throw new IllegalStateException("no access to " + component.getName(), ex);
		}
	}

}
