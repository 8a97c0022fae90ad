package io.masticlane.steering;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

public class FairQueueTests {

	@Test
	public void anEntryOfAQuietOrganisationIsServedBeforeALongQueue() {
		FairQueue<String> queue = new FairQueue<>(100);
		IntStream.range(0, 100).forEach((number) -> queue.offer("loud", "loud"));
		queue.serveNext((entry) -> true, 0);
		queue.offer("quiet", "quiet");
		assertEquals(serve(queue, 2), List.of("quiet", "loud"));
	}

	@Test
	public void aFullQueueRejectsEntriesWhileOthersAcceptThem() {
		FairQueue<String> queue = new FairQueue<>(1);
		queue.offer("first", "first");
		assertFalse(queue.offer("first", "second"));
		queue.offer("other", "other");
		assertEquals(queue.size(), 2);
	}

	@Test
	public void aRequeuedEntryIsServedBeforeTheOthersOfItsOrganisation() {
		FairQueue<String> queue = new FairQueue<>(1);
		queue.offer("organisation", "later");
		queue.requeueFirst("organisation", "again");
		assertEquals(serve(queue, 2), List.of("again", "later"));
	}

	@Test
	public void anEntryThatIsNotAcceptedKeepsItsPlace() {
		FairQueue<String> queue = new FairQueue<>(2);
		queue.offer("first", "refused");
		queue.offer("second", "accepted");
		assertEquals(queue.serveNext("accepted"::equals, 0), true);
		assertEquals(serve(queue, 1), List.of("refused"));
	}

	@Test
	public void anOrganisationIsDominantUntilItsUsageDecays() {
		FairQueue<String> queue = new FairQueue<>(100);
		IntStream.range(0, 20).forEach((number) -> queue.offer("loud", "loud"));
		queue.offer("quiet", "quiet");
		serve(queue, 21);
		assertEquals(queue.dominantOrganisation(0), "loud");
		assertEquals(queue.dominantOrganisation(TimeUnit.SECONDS.toNanos(10)), "");
	}

	@Test
	public void retriesAreLimitedToATenthOfTheAttemptsPlusTheInitialBudget() {
		RetryBudget budget = new RetryBudget();
		long retries = IntStream.range(0, 10_000).filter((attempt) -> {
			budget.recordFirstAttempt();
			return budget.tryAcquire();
		}).count();
		assertEquals(retries, 10_000 / 10 + 10, 2);
	}

	private static List<String> serve(FairQueue<String> queue, int count) {
		List<String> served = new ArrayList<>();
		IntStream.range(0, count).forEach((number) -> queue.serveNext(served::add, 0));
		return served;
	}

}
