package io.masticlane.route;

import java.math.BigInteger;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import io.masticlane.configuration.ClientBlock;
import io.masticlane.configuration.ConfigurationException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

public class ClientBlockTableTests {

	@Test
	public void theLongestPrefixWins() throws UnknownHostException {
		ClientBlockTable table = ClientBlockTable
			.of(List.of(new ClientBlock("10.0.0.0/8", "west"), new ClientBlock("10.1.0.0/16", "north"),
					new ClientBlock("10.1.2.0/24", "delta"), new ClientBlock("2001:db8::/32", "north")));
		assertEquals(region(table, "10.1.2.255"), "delta");
		assertEquals(region(table, "10.1.3.0"), "north");
		assertEquals(region(table, "10.255.255.255"), "west");
		assertEquals(region(table, "11.0.0.0"), "");
		assertEquals(region(table, "9.255.255.255"), "");
		assertEquals(region(table, "2001:db8:ffff::1"), "north");
		assertEquals(region(table, "2001:db9::"), "");
	}

	@Test
	public void aBlockMayCoverTheWholeAddressSpace() throws UnknownHostException {
		ClientBlockTable table = ClientBlockTable.of(List.of(new ClientBlock("0.0.0.0/0", "west"),
				new ClientBlock("::/0", "north"), new ClientBlock("255.255.255.255/32", "delta")));
		assertEquals(region(table, "0.0.0.0"), "west");
		assertEquals(region(table, "255.255.255.255"), "delta");
		assertEquals(region(table, "::"), "north");
		assertEquals(region(table, "ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff"), "north");
	}

	@Test
	public void randomAddressesGetTheSameRegionAsByLinearSearch() throws UnknownHostException {
		long seed = System.nanoTime();
		Random random = new Random(seed);
		for (int round = 0; round < 300; round++) {
			int addressBytes = (round % 2 == 0) ? 4 : 16;
			List<ClientBlock> blocks = randomBlocks(random, addressBytes);
			ClientBlockTable table = ClientBlockTable.of(blocks);
			for (int probe = 0; probe < 200; probe++) {
				byte[] address = randomAddress(random, addressBytes);
				assertEquals(table.region(InetAddress.getByAddress(address)), byLinearSearch(blocks, address),
						"seed " + seed + ", round " + round);
			}
		}
	}

	@DataProvider
	public Object[][] malformedNetworks() {
		return new Object[][] { { "10.0.0.0/33" }, { "256.0.0.0/8" }, { "10.0.0/8" }, { "fade.de/8" }, { "::/65" },
				{ "1::2::3/16" }, { "::ffff:10.0.0.0/64" }, { "10.0.0.0" }, { "10.0.0.0/99999999999" } };
	}

	@Test(dataProvider = "malformedNetworks")
	public void aMalformedNetworkIsRefused(String network) {
		expectThrows(ConfigurationException.class, () -> new ClientBlock(network, "west"));
	}

	private static List<ClientBlock> randomBlocks(Random random, int addressBytes) {
		Set<BigInteger> networks = new HashSet<>();
		return IntStream.range(0, 40).mapToObj((number) -> {
			int prefix = random.nextInt((addressBytes == 4) ? 33 : 65);
			byte[] address = mask(randomAddress(random, addressBytes), prefix);
			boolean added = networks.add(new BigInteger(address).shiftLeft(8).add(BigInteger.valueOf(prefix)));
			return added ? new ClientBlock(text(address) + "/" + prefix, "r" + random.nextInt(5)) : null;
		}).filter((block) -> block != null).toList();
	}

	/**
	 * Returns an address of few distinct byte values, so that blocks often nest or
	 * adjoin.
	 */
	private static byte[] randomAddress(Random random, int length) {
		byte[] address = new byte[length];
		byte[] alphabet = { 0, 1, -1, -128, 127 };
		IntStream.range(0, length).forEach((index) -> address[index] = alphabet[random.nextInt(alphabet.length)]);
		return address;
	}

	private static String byLinearSearch(List<ClientBlock> blocks, byte[] address) {
		return blocks.stream()
			.filter((block) -> new BigInteger(mask(address, block.prefixLength()))
				.equals(new BigInteger(block.addressBytes())))
			.max(Comparator.comparingInt(ClientBlock::prefixLength))
			.map(ClientBlock::region)
			.orElse("");
	}

	private static byte[] mask(byte[] address, int prefix) {
		byte[] masked = new byte[address.length];
		IntStream.range(0, address.length)
			.forEach((index) -> masked[index] = (byte) (address[index]
					& (0xff00 >> Math.min(8, Math.max(0, prefix - 8 * index)))));
		return masked;
	}

	private static String text(byte[] address) {
		try {
			return InetAddress.getByAddress(address).getHostAddress();
		}
		catch (UnknownHostException ex) {
			throw new IllegalArgumentException(ex);
		}
	}

	private static String region(ClientBlockTable table, String address) throws UnknownHostException {
		return table.region(InetAddress.getByName(address));
	}

}
