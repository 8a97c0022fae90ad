package io.masticlane.store;

import java.util.OptionalLong;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class StoreSessionsTests {

	@Test
	public void anInterruptionBeginsASession() {
		StoreSessions sessions = new StoreSessions();
		sessions.interrupted("timeout");
		assertEquals(sessions.current().number(), 1);
		assertEquals(sessions.current().beginning(), "timeout");
	}

	/**
	 * Guards against a restored store that is taken for the same one, also if several
	 * restorations were missed.
	 */
	@Test
	public void aHigherEraBeginsASessionButTheFirstOneDoesNot() {
		StoreSessions sessions = new StoreSessions();
		assertTrue(sessions.responded(OptionalLong.of(3)));
		assertEquals(sessions.current().number(), 0);
		assertTrue(sessions.responded(OptionalLong.of(6)));
		assertEquals(sessions.current().number(), 1);
		assertEquals(sessions.current().era(), OptionalLong.of(6));
	}

	/**
	 * Guards against content of the store before its restoration that arrives late.
	 */
	@Test
	public void aResponseOfAnEarlierEraDoesNotCount() {
		StoreSessions sessions = new StoreSessions();
		sessions.responded(OptionalLong.of(4));
		assertFalse(sessions.responded(OptionalLong.of(3)));
		assertEquals(sessions.current().number(), 0);
	}

	@Test
	public void aResponseWithoutAnEraCountsAndChangesNothing() {
		StoreSessions sessions = new StoreSessions();
		sessions.responded(OptionalLong.of(4));
		assertTrue(sessions.responded(OptionalLong.empty()));
		assertEquals(sessions.current().era(), OptionalLong.of(4));
	}

}
