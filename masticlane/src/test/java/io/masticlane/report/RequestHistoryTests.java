package io.masticlane.report;

import java.util.List;
import java.util.Map;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class RequestHistoryTests {

	private final Map<String, List<String>> logs = Map.of("a.log",
			List.of("time_ms=90 event=6101 name=PLAN_IN_FORCE version=3 former=1 source=store",
					"time_ms=95 event=6101 name=PLAN_IN_FORCE version=4 former=3 source=store", "cut sho",
					"time_ms=100 event=6202 name=ATTEMPT_FAILED request=r1 server=i-1 detail=\"the way = lost\"",
					"time_ms=120 event=6203 name=REQUEST_FAILED request=r1 server=i-1",
					"time_ms=130 event=6203 name=REQUEST_FAILED request=r2 server=i-2"),
			"b.log", List.of("0.25 host time_ms=99 event=6103 name=SERVER_CHANGED server=i-1 state=gone"));

	@Test
	public void theLinesOfARequestFollowTheLastStateChangesBeforeThem() {
		List<String> printed = RequestHistory.of("r1", this.logs).lines();
		assertEquals(printed.size(), 3);
		assertTrue(printed.get(0).contains("version=4"));
		assertTrue(printed.get(2).contains("REQUEST_FAILED"));
	}

	@Test
	public void malformedLinesAreCounted() {
		assertEquals(RequestHistory.of("r1", this.logs).skippedLines(), 1);
	}

	@Test
	public void anUnknownRequestHasNoLines() {
		assertEquals(RequestHistory.of("r9", this.logs).lines(), List.of());
	}

}
