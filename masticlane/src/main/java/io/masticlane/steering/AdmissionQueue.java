package io.masticlane.steering;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.ObjLongConsumer;

import io.masticlane.limit.Limits;

/**
 * Admits requests within their organisation's rate and burst. One that finds no token
 * waits a short time for tokens of other entry hosts before it is refused; requests of an
 * organisation are admitted in the order of their arrival.
 */
final class AdmissionQueue {

	private static final long WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

	private static final int MAXIMUM_WAITING = 256;

	private final Limits limits;

	private final ObjLongConsumer<InFlightRequest> admitted;

	private final Consumer<InFlightRequest> refused;

	private final Map<String, Deque<Waiting>> queues = new HashMap<>();

	AdmissionQueue(Limits limits, ObjLongConsumer<InFlightRequest> admitted, Consumer<InFlightRequest> refused) {
		this.limits = limits;
		this.admitted = admitted;
		this.refused = refused;
	}

	void submit(InFlightRequest flight, long now) {
		String organisation = flight.request().organisation();
		Deque<Waiting> queue = this.queues.get(organisation);
		boolean first = queue == null;
		if (organisation.isEmpty()
				|| (first && this.limits.tryAcquire(Limits.organisationIdentifier(organisation), 1, now))) {
			this.admitted.accept(flight, now);
		}
		else if (first || queue.size() < MAXIMUM_WAITING) {
			this.queues.computeIfAbsent(organisation, (key) -> new ArrayDeque<>())
				.add(new Waiting(flight, now + WAIT_NANOS));
		}
		else {
			this.refused.accept(flight);
		}
	}

	void tick(long now) {
		this.queues.forEach((organisation, queue) -> serve(Limits.organisationIdentifier(organisation), queue, now));
		this.queues.values().removeIf(Deque::isEmpty);
	}

	private void serve(String limit, Deque<Waiting> queue, long now) {
		queue.removeIf((waiting) -> waiting.flight().isEnded());
		while (!queue.isEmpty() && this.limits.tryAcquireDelayed(limit, 1, now)) {
			this.admitted.accept(queue.remove().flight(), now);
		}
		while (!queue.isEmpty() && now - queue.element().until() >= 0) {
			this.refused.accept(queue.remove().flight());
		}
	}

	private record Waiting(InFlightRequest flight, long until) {
	}

}
