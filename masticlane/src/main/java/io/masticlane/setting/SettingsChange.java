package io.masticlane.setting;

import java.lang.reflect.RecordComponent;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * The names of the settings that differ between two readings.
 *
 * @param inForce the changed settings that take effect immediately
 * @param nextStart the changed settings that take effect at the next start
 */
public record SettingsChange(List<String> inForce, List<String> nextStart) {

	private static final Set<String> RELOADABLE = Set.of("regions", "maximum-descriptors", "grace-seconds",
			"maximum-ttl-seconds", "retry-ratio", "retry-slack", "cold-overshoot", "cold-slack", "cpu-cores",
			"cpu-share", "memory-megabytes", "bandwidth-megabits");

	/**
	 * Compares two readings of the settings.
	 * @param current the settings in force
	 * @param updated the settings that were read
	 * @return the change
	 */
	public static SettingsChange between(GatewaySettings current, GatewaySettings updated) {
		RecordComponent[] components = GatewaySettings.class.getRecordComponents();
		List<String> changed = IntStream.range(0, components.length)
			.filter((index) -> !value(components[index], current).equals(value(components[index], updated)))
			.mapToObj((index) -> GatewaySettings.DESCRIPTORS.get(index).flag())
			.toList();
		return new SettingsChange(changed.stream().filter(RELOADABLE::contains).toList(),
				changed.stream().filter((name) -> !RELOADABLE.contains(name)).toList());
	}

	private static Object value(RecordComponent component, GatewaySettings settings) {
		try {
			return component.getAccessor().invoke(settings);
		}
		catch (ReflectiveOperationException ex) {
			throw new IllegalStateException("cannot read component " + component.getName(), ex);
		}
	}

}
