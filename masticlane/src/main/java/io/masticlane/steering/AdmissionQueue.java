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
 * Admits requests within the rate and burst of their organisation. A request that finds
 * no token waits a short time for tokens from other entry hosts before it is refused.
 * Requests of one organisation are admitted in order of arrival.
 */
final class AdmissionQueue {

	private static final long TOKEN_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

	private static final int MAXIMUM_WAITING_PER_ORGANISATION = 256;

	private final Limits limits;

	private final ObjLongConsumer<InFlightRequest> admitted;

	private final Consumer<InFlightRequest> refused;

	private final Map<String, Deque<Waiting>> queues = new HashMap<>();

	AdmissionQueue(Limits limits, ObjLongConsumer<InFlightRequest> admitted, Consumer<InFlightRequest> refused) {
		this.limits = limits;
		this.admitted = admitted;
		this.refused = refused;
	}

	void submit(InFlightRequest request, long now) {
		String organisation = request.incoming().organisation();
		Deque<Waiting> queue = this.queues.get(organisation);
		boolean first = queue == null;
		if (organisation.isEmpty()
				|| (first && this.limits.tryAcquire(Limits.organisationIdentifier(organisation), 1, now))) {
			this.admitted.accept(request, now);
		}
		else if (first || queue.size() < MAXIMUM_WAITING_PER_ORGANISATION) {
			this.queues.computeIfAbsent(organisation, (key) -> new ArrayDeque<>())
				.add(new Waiting(request, now + TOKEN_WAIT_NANOS));
		}
		else {
			this.refused.accept(request);
		}
	}

	void tick(long now) {
		this.queues.forEach((organisation, queue) -> serve(Limits.organisationIdentifier(organisation), queue, now));
		this.queues.values().removeIf(Deque::isEmpty);
	}

	private void serve(String limit, Deque<Waiting> queue, long now) {
		queue.removeIf((waiting) -> waiting.request().isEnded());
		while (!queue.isEmpty() && this.limits.tryAcquireDelayed(limit, 1, now)) {
			this.admitted.accept(queue.remove().request(), now);
		}
		while (!queue.isEmpty() && now - queue.element().expiresAt() >= 0) {
			this.refused.accept(queue.remove().request());
		}
	}

	private record Waiting(InFlightRequest request, long expiresAt) {
	}

}
