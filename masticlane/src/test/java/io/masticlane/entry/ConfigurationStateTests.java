package io.masticlane.entry;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import io.masticlane.configuration.Configuration;
import io.masticlane.configuration.ConfigurationDocument;
import io.masticlane.event.Event;
import io.masticlane.store.ConfigurationEnvelope;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class ConfigurationStateTests {

	private final List<Long> inForce = new ArrayList<>();

	private final List<Event> events = new ArrayList<>();

	private final List<Runnable> tasks = new ArrayList<>();

	private ConfigurationState state;

	@BeforeMethod
	public void create() {
		this.inForce.clear();
		this.events.clear();
		this.tasks.clear();
		this.state = new ConfigurationState((event, arguments) -> this.events.add(event), this.tasks::add,
				this.tasks::add, (table, push) -> this.inForce.add(table.revision()));
	}

	@Test
	public void anInvalidDocumentLeavesThePreviousOneInForceAndIsLoggedOnce() {
		offer(5, document());
		List.of("no envelope", "n\n{", "n\n" + text().replace("\"schemaVersion\" : 1", "\"schemaVersion\" : 9"),
				"n\n" + " ".repeat(ConfigurationDocument.MAXIMUM_BYTES + 1))
			.forEach((broken) -> {
				this.events.clear();
				offer(7, broken.getBytes(StandardCharsets.UTF_8));
				offer(7, broken.getBytes(StandardCharsets.UTF_8));
				assertEquals(this.events, List.of(Event.CONFIGURATION_REJECTED));
				assertEquals(this.state.revision(), 5);
			});
		offer(6, document());
		offer(8, document());
		assertEquals(this.inForce, List.of(5L, 6L, 8L));
	}

	@Test
	public void aDocumentThatArrivedBrokenComesIntoForceWhenItArrivesIntact() {
		offer(5, "broken".getBytes(StandardCharsets.UTF_8));
		offer(5, document());
		assertEquals(this.inForce, List.of(5L));
	}

	@Test
	public void aRejectedRevisionIsNotFetchedAgainButLowerOnesOfPeersAre() {
		offer(12, "broken".getBytes(StandardCharsets.UTF_8));
		assertFalse(this.state.shouldFetch(12));
		assertTrue(this.state.shouldFetch(11));
		assertEquals(this.state.processedRevision(), 12);
	}

	@Test
	public void aRevisionRefusedByAFullRingIsAcceptedWhenOfferedAgain() {
		ConfigurationState full = new ConfigurationState((event, arguments) -> this.events.add(event), (command) -> {
			command.run();
			return true;
		}, (command) -> this.tasks.size() > 0 && this.tasks.add(command),
				(table, push) -> this.inForce.add(table.revision()));
		full.offer(5, document(), "a peer");
		this.tasks.add(() -> {
		});
		full.offer(5, document(), "a peer");
		execute(new Random(0));
		assertEquals(this.inForce, List.of(5L));
	}

	@Test
	public void offersInRandomOrderNeverRevertTheRevisionInForce() {
		long seed = System.nanoTime();
		Random random = new Random(seed);
		byte[] document = document();
		IntStream.range(0, 500).forEach((round) -> {
			create();
			IntStream.range(0, 20).forEach((step) -> {
				long revision = random.nextInt(10);
				this.state.offer(revision, (random.nextInt(4) == 0) ? new byte[0] : document, "a peer");
				if (random.nextBoolean()) {
					execute(random);
				}
			});
			execute(random);
			assertEquals(this.inForce, this.inForce.stream().sorted().distinct().toList(), "seed " + seed);
		});
	}

	private void offer(long revision, byte[] envelope) {
		this.state.offer(revision, envelope, "a peer");
		execute(new Random(0));
	}

	private void execute(Random random) {
		while (!this.tasks.isEmpty()) {
			this.tasks.remove(random.nextInt(this.tasks.size())).run();
		}
	}

	private static byte[] document() {
		return new ConfigurationEnvelope("nonce", text().getBytes(StandardCharsets.UTF_8)).encode();
	}

	private static String text() {
		return ConfigurationDocument.print(Configuration.named("test"));
	}

}
