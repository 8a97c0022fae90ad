package io.masticlane.membership;

import java.util.concurrent.TimeUnit;

import io.masticlane.peer.Peer;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class StoreContactTests {

	private static final Peer PEER = new Peer("entry-2", "first");

	@Test
	public void withoutContactTheAgeIsTheMaximum() {
		assertEquals(new StoreContact(0).ageMillis(at(10)), StoreContact.NEVER_MILLIS);
	}

	@Test
	public void contactReportedByAPeerAgesFromTheTimeItWasSent() {
		StoreContact contact = new StoreContact(0);
		contact.storeResponded(at(1_000));
		contact.peerReported(at(5_000), 300);
		contact.peerReported(at(5_000), 900);
		assertEquals(contact.ageMillis(at(6_000)), 1_301);
	}

	@Test
	public void aDelayedHeartbeatIsNoProofOfRecentContact() {
		StoreContact contact = new StoreContact(0);
		HeartbeatEchoes echoes = new HeartbeatEchoes();
		long echo = echoes.nextSequence(at(0));
		echoes.nextSequence(at(20_000));
		contact.peerReported(echoes.sentNotBefore(echo).getAsLong(), 0);
		assertTrue(contact.ageMillis(at(20_000)) > 20_000);
	}

	@Test
	public void aHeartbeatOfAnEarlierProcessIsNotEchoed() {
		HeartbeatEchoes echoes = new HeartbeatEchoes();
		echoes.receive(PEER, 7);
		echoes.receive(PEER, 6);
		assertEquals(echoes.echo(PEER), 7);
		echoes.receive(new Peer("entry-2", "second"), 1);
		assertEquals(echoes.echo(PEER), 0);
		assertTrue(echoes.sentNotBefore(0).isEmpty());
	}

	private static long at(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

}
