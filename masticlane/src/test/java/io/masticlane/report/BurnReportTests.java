package io.masticlane.report;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;

import io.masticlane.configuration.Objective;
import io.masticlane.failure.ErrorKind;
import io.masticlane.operator.BurnDocument;
import io.masticlane.operator.BurnRecorder;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class BurnReportTests {

	private static final long FAST_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

	private static final long SLOW_NANOS = TimeUnit.MILLISECONDS.toNanos(101);

	private final AtomicLong millis = new AtomicLong(TimeUnit.MINUTES.toMillis(10_000));

	private final BurnRecorder recorder = new BurnRecorder(this.millis::get);

	private BurnReportTests configured() {
		this.recorder.configure(List.of(new Objective("ledger", 100, 0.99, 0.001)));
		return this;
	}

	@Test
	public void slowResponsesBurnTheirBudgetInEveryWindowThatContainsThem() {
		BurnReportTests fresh = new BurnReportTests().configured();
		fresh.record("org-1", "answered", FAST_NANOS, 98);
		fresh.record("org-1", "answered", SLOW_NANOS, 2);
		assertEquals(fresh.row("all").slowBurn().get(0), 2, 1e-9);
		fresh.millis.addAndGet(TimeUnit.MINUTES.toMillis(6));
		assertEquals(fresh.row("all").slowBurn().get(0), 0, 1e-9);
		assertEquals(fresh.row("all").slowBurn().get(1), 2, 1e-9);
	}

	@Test
	public void anExceededRateAndErrorsOfTheCallerDoNotCount() {
		BurnReportTests fresh = new BurnReportTests().configured();
		fresh.record("org-1", "answered", FAST_NANOS, 1);
		fresh.record("org-1", ErrorKind.RATE_EXCEEDED.text(), FAST_NANOS, 50);
		fresh.record("org-1", ErrorKind.KEY_REFUSED.text(), FAST_NANOS, 50);
		assertEquals(fresh.row("all").requests(), 1);
		assertFalse(fresh.report().tooFast());
	}

	@Test
	public void aRefusalWithinTheRateBurnsTheBudgetTooFast() {
		BurnReportTests fresh = new BurnReportTests().configured();
		fresh.record("org-1", "answered", FAST_NANOS, 900);
		fresh.record("org-2", "answered", FAST_NANOS, 80);
		fresh.record("org-2", ErrorKind.OVERLOADED.text(), FAST_NANOS, 20);
		assertEquals(fresh.row("all").refusedBurn().get(0), 20, 1e-9);
		assertTrue(fresh.report().tooFast());
		assertEquals(fresh.report().worstServed("ledger").findFirst().orElseThrow().scope().name(), "org-2");
		assertEquals(fresh.row("org-1").left(), 1, 1e-9);
	}

	@Test
	public void minutesOlderThanTheLongestWindowAreDropped() {
		BurnReportTests fresh = new BurnReportTests().configured();
		IntStream.range(0, BurnRecorder.KEPT_MINUTES + 10).forEach((minute) -> {
			fresh.record("org-1", "answered", FAST_NANOS, 1);
			fresh.millis.addAndGet(TimeUnit.MINUTES.toMillis(1));
		});
		assertEquals(fresh.recorder.document("entry-1", "west").series().get(0).minutes().size(),
				BurnRecorder.KEPT_MINUTES);
	}

	@Test
	public void countsOfTheSameMinuteOnTwoEntryHostsAreAdded() {
		BurnReportTests fresh = new BurnReportTests().configured();
		fresh.record("org-1", "answered", FAST_NANOS, 3);
		BurnDocument one = fresh.recorder.document("entry-1", "west");
		BurnDocument other = fresh.recorder.document("entry-2", "north");
		BurnReport report = BurnReport.of(List.of(one, other), fresh.minute());
		assertEquals(row(report, "all").requests(), 6);
		assertEquals(row(report, "north").requests(), 3);
	}

	private void record(String organisation, String result, long nanos, int times) {
		IntStream.range(0, times).forEach((time) -> this.recorder.recordRequest("ledger", organisation, result, nanos));
	}

	private long minute() {
		return TimeUnit.MILLISECONDS.toMinutes(this.millis.get());
	}

	private BurnReport report() {
		return BurnReport.of(List.of(this.recorder.document("entry-1", "west")), minute());
	}

	private BurnReport.Row row(String name) {
		return row(report(), name);
	}

	private static BurnReport.Row row(BurnReport report, String name) {
		return report.rows().stream().filter((row) -> row.scope().name().equals(name)).findFirst().orElseThrow();
	}

}
