package io.masticlane.entry;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class AdmissionInStopTests {

	private static final Duration STOP = Duration.ofSeconds(60);

	@Test
	public void eachRequestIsAdmittedWhileLookUpsAreValid() {
		PlannedStop stop = new PlannedStop(STOP, Duration.ofSeconds(30));
		assertTrue(stop.admits(inSeconds(90)));
	}

	@Test
	public void aRequestIsAdmittedAfterLookUpsExpiredIfItEndsBeforeTheLastResponsesAreDelivered() {
		PlannedStop stop = new PlannedStop(STOP, Duration.ZERO);
		assertTrue(stop.admits(inSeconds(55)));
		assertFalse(stop.admits(inSeconds(60)));
		assertFalse(stop.admits(inSeconds(90)));
	}

	/**
	 * Guards against requests that are accepted beyond the end of a stop that is shorter
	 * than the lifetime of look-ups.
	 */
	@Test
	public void noRequestIsAdmittedAfterTheTimeForServingThoughLookUpsAreValid() {
		PlannedStop stop = new PlannedStop(Duration.ZERO, Duration.ofSeconds(30));
		assertFalse(stop.admits(inSeconds(1)));
	}

	private static long inSeconds(int seconds) {
		return System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
	}

}
