package io.masticlane.gateway;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.masticlane.event.Event;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class DecisionLogTests {

	@Test
	public void aBurstOfRefusalsIsLimitedAndDropsAreCounted() {
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		DecisionLog log = new DecisionLog(new PrintStream(output, true));
		IntStream.range(0, 50_000).forEach((request) -> refuse(log, "r-" + request));
		log.close();
		long lines = output.toString(StandardCharsets.UTF_8).lines().count();
		assertTrue(lines <= 1_000, "lines " + lines);
		assertTrue(log.droppedLines() >= 49_000, "dropped " + log.droppedLines());
		assertTrue(output.toString(StandardCharsets.UTF_8).contains("name=LOG_LINES_DROPPED"));
	}

	@Test
	public void aBlockedOutputDoesNotBlockTheCaller() {
		CountDownLatch unblocked = new CountDownLatch(1);
		DecisionLog log = new DecisionLog(new PrintStream(new OutputStream() {
			@Override
			public void write(int each) {
				try {
					unblocked.await();
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			}
		}, true));
		long start = System.nanoTime();
		IntStream.range(0, 20_000).forEach((request) -> refuse(log, "r-" + request));
		long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
		unblocked.countDown();
		log.close();
		assertTrue(millis < 2_000, "took " + millis + " ms");
	}

	@Test
	public void aLineHasAFieldForEveryArgument() {
		String line = DecisionLog.line(Event.REQUEST_ABANDONED, "r-1", "CALLER", "route", "i 1", true, 5);
		assertTrue(line.contains("event=6205 name=REQUEST_ABANDONED request=r-1"), line);
		assertTrue(line.contains("server=\"i 1\" cancelled=true age_ms=5"), line);
		assertEquals(line.indexOf('\n'), -1);
	}

	@Test
	public void aValueCannotInjectALine() {
		String line = DecisionLog.line(Event.REQUEST_ABANDONED, "r-1\nevent=1", "CALLER", "a", "b", true, 5);
		assertEquals(line.lines().count(), 1);
	}

	private static void refuse(DecisionLog log, String request) {
		log.record(Event.REQUEST_REFUSED, request, "load", 503, "r", "o", 1, 2, 3, 4, 5);
	}

}
