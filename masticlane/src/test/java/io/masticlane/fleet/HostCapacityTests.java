package io.masticlane.fleet;

import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.Map;
import java.util.Optional;

import io.masticlane.setting.GatewaySettings;
import io.masticlane.setting.SettingException;
import io.masticlane.setting.SettingSource;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

public class HostCapacityTests {

	private static final HostCapacity LARGE = new HostCapacity(1.5, 682, 140);

	private static final byte[] ENTRY = GatewayEntry.encode(new Gateway("a", "1", "west-1", "west",
			new InetSocketAddress("127.0.0.1", 1), new InetSocketAddress("127.0.0.1", 2), false, LARGE));

	private static final int CAPACITY_BYTES = 27;

	/** Guards against members that disappear while versions are mixed. */
	@Test
	public void entriesWithFewerAndWithMoreFieldsAreRead() {
		assertEquals(GatewayEntry.decode(ENTRY).capacity(), LARGE);
		byte[] older = Arrays.copyOf(ENTRY, ENTRY.length - CAPACITY_BYTES);
		older[0] = (byte) 0x99;
		assertEquals(GatewayEntry.decode(older).capacity(), HostCapacity.UNKNOWN);
		assertEquals(GatewayEntry.decode(older).host(), "a");
		byte[] later = Arrays.copyOf(ENTRY, ENTRY.length + 1);
		later[0] = (byte) 0x9d;
		assertEquals(GatewayEntry.decode(later).capacity(), LARGE);
	}

	/** Guards against hosts that count as tiny since a figure is missing or faulty. */
	@Test
	public void anUnknownResourceCountsAsTheLargestAndTheScarcestOneDecides() {
		assertEquals(new HostCapacity(0.75, 682, 7).fractionOf(LARGE), 0.05);
		assertEquals(new HostCapacity(0.75, 0, 0).fractionOf(LARGE), 0.5);
		assertEquals(HostCapacity.UNKNOWN.fractionOf(LARGE), 1.0);
		assertEquals(LARGE.fractionOf(HostCapacity.UNKNOWN), 1.0);
		assertEquals(new HostCapacity(-1, Double.NaN, Double.POSITIVE_INFINITY), HostCapacity.UNKNOWN);
		assertEquals(HostCapacity.of(2, 0.75, 682, 140), LARGE);
		assertEquals(HostCapacity.of(1.5, 0, 682, 140), LARGE);
	}

	/**
	 * Guards against a wrong figure that passes as a small host, or ends in a stack
	 * trace.
	 */
	@Test
	public void aMissingLimitIsUnknownAndANegativeOrOtherTextIsAnErrorInOneLine() {
		assertEquals(settings("bandwidth-megabits", "0").bandwidthMegabits(), 0.0);
		assertEquals(settings("memory-megabytes", "682.5").memoryMegabytes(), 682.5);
		assertEquals(settings("memory-megabytes", "682.5").cpuCores(), 0.0);
		for (String name : new String[] { "cpu-cores", "cpu-share", "memory-megabytes", "bandwidth-megabits" }) {
			for (String value : new String[] { "-1", "NaN", "Infinity", "two", "1,5" }) {
				assertEquals(expectThrows(SettingException.class, () -> settings(name, value)).getMessage(),
						"--" + name + ": got '" + value + "', expected a number of at least 0");
			}
		}
	}

	private static GatewaySettings settings(String name, String value) {
		return GatewaySettings.from(new SettingSource(GatewaySettings.DESCRIPTORS, (flag) -> Optional
			.ofNullable(Map.of(name, value).get(flag))
			.or(() -> flag.endsWith("address") ? Optional.of("127.0.0.1:1") : Optional.empty())
			.or(() -> Optional.of("west")
				.filter((text) -> Map.of("host", 1, "data-centre", 1, "region", 1, "regions", 1).containsKey(flag))),
				(variable) -> Optional.empty()));
	}

}
