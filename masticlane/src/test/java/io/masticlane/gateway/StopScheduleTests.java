package io.masticlane.gateway;

import java.util.concurrent.TimeUnit;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class StopScheduleTests {

	private static final double EXPECTED_MILLIS = 700;

	private final StopSchedule schedule = StopSchedule.of(0, 6);

	@DataProvider
	public Object[][] gracePeriods() {
		return new Object[][] { { 0.5 }, { 1.0 }, { 2.0 }, { 6.0 }, { 10.0 }, { 30.0 }, { 300.0 } };
	}

	@Test(dataProvider = "gracePeriods")
	public void servingEndsInTheLastSixthOfTheGracePeriodAndBeforeItsEnd(double graceSeconds) {
		long remainingMillis = StopSchedule.of(0, graceSeconds).remainingMillis(0);
		double graceMillis = graceSeconds * 1_000;
		assertTrue(remainingMillis > graceMillis * 5 / 6 && remainingMillis < graceMillis,
				"served for " + remainingMillis);
	}

	@Test(dataProvider = "gracePeriods")
	public void connectionsAreAcceptedForLessThanTheTimeForServing(double graceSeconds) {
		StopSchedule each = StopSchedule.of(0, graceSeconds);
		assertTrue(each.lingerMillis() > 0 && each.lingerMillis() < each.remainingMillis(0));
	}

	/**
	 * Guards against requests that are taken late and cut off at the end of the process.
	 */
	@Test
	public void aRequestBegunAfterLookUpsExpiredIsAdmittedOnlyIfItCertainlyEndsInTime() {
		assertTrue(admits(3_500, 3_500, 1_500));
		assertFalse(admits(3_500, 3_500, 2_500));
		assertFalse(admits(3_001, 3_001, 30_000));
	}

	@Test
	public void aRequestBegunWhileLookUpsWereValidIsAdmittedIfItProbablyEndsInTime() {
		assertTrue(admits(2_900, 2_900, 30_000));
		assertTrue(admits(-1_000, 4_500, 30_000));
		assertFalse(admits(-1_000, 4_800, 30_000));
	}

	private boolean admits(long begunMillis, long nowMillis, long limitMillis) {
		return this.schedule.admits(TimeUnit.MILLISECONDS.toNanos(begunMillis),
				TimeUnit.MILLISECONDS.toNanos(nowMillis), limitMillis, EXPECTED_MILLIS);
	}

}
