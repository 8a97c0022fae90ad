package io.masticlane.fleet;

import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class OutdatedPlanTests {

	private static final long DELAY = 900;

	/**
	 * Guards against two gateways with the same old plan that never query a third.
	 */
	@Test
	public void aReportOfTheSameOldPlanDoesNotEndTheWait() {
		OutdatedPlan plan = new OutdatedPlan(DELAY);
		assertFalse(plan.isQueryDue(1, 2, 0));
		assertFalse(plan.isQueryDue(1, 1, 500));
		assertTrue(plan.isQueryDue(1, 2, 1_000));
	}

	/**
	 * Guards against queries for plans that the store delivers a moment later.
	 */
	@Test
	public void theWaitBeginsAnewWithEachOwnPlan() {
		OutdatedPlan plan = new OutdatedPlan(DELAY);
		assertFalse(plan.isQueryDue(1, 2, 0));
		assertFalse(plan.isQueryDue(2, 3, 1_000));
		assertFalse(plan.isQueryDue(2, 3, 1_800));
		assertTrue(plan.isQueryDue(2, 3, 2_000));
	}

	/**
	 * Guards against a burst of queries while the response to the first one is under way.
	 */
	@Test
	public void aQueryIsRepeatedAfterTheDelayAlone() {
		OutdatedPlan plan = new OutdatedPlan(DELAY);
		assertFalse(plan.isQueryDue(1, 2, 0));
		assertTrue(plan.isQueryDue(1, 2, 1_000));
		assertFalse(plan.isQueryDue(1, 2, 1_500));
		assertTrue(plan.isQueryDue(1, 2, 2_000));
	}

}
