package io.masticlane.admission;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class AdmissionPolicyTests {

	private final AdmissionPolicy policy = new AdmissionPolicy(() -> 0.5);

	@Test
	public void theHighestPriorityMayQueueUntilItsObjectiveWhereServersAreCongested() {
		assertEquals(this.policy.latestResponseMillis(500, 3_000, 0, true), 500.0);
	}

	@Test
	public void theHighestPriorityMayUseAllRemainingTimeOtherwise() {
		assertEquals(this.policy.latestResponseMillis(500, 3_000, 0, false), 3_000.0);
	}

	@Test
	public void lowerPrioritiesAreRefusedEarlierUnderTheSameLoad() {
		assertTrue(this.policy.latestResponseMillis(500, 3_000, 2, true) < this.policy.latestResponseMillis(500, 3_000,
				1, true));
		assertTrue(this.policy.latestResponseMillis(500, 3_000, 2, false) < this.policy.latestResponseMillis(500, 3_000,
				1, false));
	}

	@Test
	public void theLatestResponseIsNotAfterTheTimeoutOfTheCaller() {
		assertEquals(this.policy.latestResponseMillis(500, 400, 0, true), 400.0);
		assertEquals(this.policy.latestResponseMillis(500, 400, 0, false), 400.0);
	}

	@Test
	public void retryDelaysAreBounded() {
		assertTrue(this.policy.retryAfterMillis(0) >= 150);
		assertTrue(this.policy.retryAfterMillis(1e9) <= 3_000);
	}

	/**
	 * Guards against retries that arrive together, since callers shorten longer delays to
	 * a third of their remaining time.
	 */
	@Test
	public void retryDelaysAfterOverloadAreSpreadWithinWhatCallersHonour() {
		assertEquals(new AdmissionPolicy(() -> 0).retryAfterMillis(1e9, 1_200), 200.0);
		assertEquals(new AdmissionPolicy(() -> 1).retryAfterMillis(1e9, 1_200), 400.0);
		assertEquals(this.policy.retryAfterMillis(400, 6_000), 600.0);
	}

}
