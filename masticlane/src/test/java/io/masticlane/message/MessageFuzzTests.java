package io.masticlane.message;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;

import io.masticlane.fleet.Gateway;
import io.masticlane.fleet.GatewayEntry;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

public class MessageFuzzTests {

	private static final int ROUNDS = 20_000;

	private static final long MAXIMUM_MILLIS = 20_000;

	@DataProvider
	public Object[][] seeds() {
		return new Object[][] { { 1L }, { 2L }, { 3L } };
	}

	@Test(dataProvider = "seeds")
	public void aMutatedMessageIsDecodedOrRejectedWithTheDeclaredException(long seed) {
		List<byte[]> frames = List.of(MessageFrame.encode(new Message.Greeting(1, "entry-1", "a")),
				MessageFrame.encode(new Message.GatewayReport(7, 9, "a,b", false, true, Map.of("north", 5L),
						Map.of("south", 6L), Map.of("desk", 900L))),
				MessageFrame.encode(new Message.ConfigurationPush(4, new byte[50])),
				MessageFrame.encode(new Message.ConfigurationQuery(4)));
		Random random = new Random(seed);
		long start = System.nanoTime();
		for (int round = 0; round < ROUNDS; round++) {
			byte[] mutated = mutate(frames.get(random.nextInt(frames.size())), random);
			try {
				MessageFrame.decode(mutated);
			}
			catch (IOException ex) {
				// The declared exception of a malformed frame.
				continue;
			}
		}
		assertTrue(System.nanoTime() - start < MAXIMUM_MILLIS * 1_000_000, "too slow");
	}

	@Test(dataProvider = "seeds")
	public void aMutatedEntryOfAGatewayIsDecodedOrRejectedWithTheDeclaredException(long seed) {
		byte[] entry = GatewayEntry.encode(new Gateway("entry-1", "a", "zone-a", "west",
				new InetSocketAddress("10.0.0.1", 80), new InetSocketAddress("10.0.0.1", 81), false));
		Random random = new Random(seed);
		long start = System.nanoTime();
		for (int round = 0; round < ROUNDS; round++) {
			try {
				GatewayEntry.decode(mutate(entry, random));
			}
			catch (IllegalArgumentException ex) {
				// The declared exception of an invalid entry.
				continue;
			}
		}
		assertTrue(System.nanoTime() - start < MAXIMUM_MILLIS * 1_000_000, "too slow");
	}

	private static byte[] mutate(byte[] original, Random random) {
		byte[] bytes = Arrays.copyOf(original,
				(random.nextInt(4) == 0) ? random.nextInt(original.length + 1) : original.length);
		for (int change = random.nextInt(4); change >= 0 && bytes.length > 0; change--) {
			bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
		}
		return bytes;
	}

}
