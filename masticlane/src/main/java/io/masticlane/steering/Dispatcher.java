package io.masticlane.steering;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import io.masticlane.backend.Balancer;
import io.masticlane.failure.ErrorKind;
import io.masticlane.failure.Refusal;

/**
 * Queues requests of each service fairly until a backend server has a free slot, and
 * limits retries to a budget per organisation.
 */
final class Dispatcher {

	private static final int QUEUE_CAPACITY_PER_ORGANISATION = 128;

	private static final int MAXIMUM_ATTEMPTS = 8;

	private static final long MAXIMUM_WAIT_NANOS = TimeUnit.SECONDS.toNanos(2);

	/**
	 * No attempt is started with less time than this left until the deadline.
	 */
	private static final long MINIMUM_REMAINING_NANOS = TimeUnit.MILLISECONDS.toNanos(2);

	private static final long EXPIRY_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

	private static final long RETRY_AFTER_MILLIS = 500;

	private final Balancer balancer;

	private final RegionOrder regions;

	private final BiConsumer<InFlightRequest, Refusal> refuse;

	private final Map<String, ServiceQueue> queues = new HashMap<>();

	private final Map<String, RetryBudget> budgets = new HashMap<>();

	/**
	 * Creates a new dispatcher.
	 * @param balancer chooses the backend server
	 * @param regions chooses the regions
	 * @param refuse refuses a request that is not at a backend server
	 */
	Dispatcher(Balancer balancer, RegionOrder regions, BiConsumer<InFlightRequest, Refusal> refuse) {
		this.balancer = balancer;
		this.regions = regions;
		this.refuse = refuse;
	}

	/**
	 * Dispatches a request for the first time or queues it.
	 * @param request the request
	 * @param now the current time in nanoseconds
	 */
	void dispatch(InFlightRequest request, long now) {
		budget(request).recordFirstAttempt();
		request.markQueued(now);
		ServiceQueue queue = queue(request);
		if (queue.requests.offer(request.incoming().organisation(), request)) {
			serve(queue, now);
		}
		else {
			this.refuse.accept(request, overloadRefusal(request));
		}
	}

	/**
	 * Requeues a request ahead of the others of its organisation, or refuses it if no
	 * retry is left.
	 * @param request the request
	 */
	void retry(InFlightRequest request) {
		if (request.attempts() < MAXIMUM_ATTEMPTS && tryAcquireRetry(request)) {
			ServiceQueue queue = queue(request);
			queue.requests.requeueFirst(request.incoming().organisation(), request);
		}
		else {
			this.refuse.accept(request, overloadRefusal(request));
		}
	}

	/**
	 * Refunds the retry reserved for the last attempt, if any, since the request will not
	 * be retried.
	 * @param request the request
	 */
	void refundReservedRetry(InFlightRequest request) {
		if (request.isRetryReserved()) {
			request.reserveRetry(false);
			budget(request).refund();
		}
	}

	/**
	 * Removes a request from the queue, if it is queued.
	 * @param request the request
	 */
	void remove(InFlightRequest request) {
		queue(request).requests.removeIf((each) -> each == request);
	}

	/**
	 * Handles the end of an attempt, which freed a slot.
	 * @param request the request
	 */
	void attemptEnded(InFlightRequest request) {
		queue(request).blocked = false;
	}

	/**
	 * Dispatches the queued requests of a service.
	 * @param service the name of the service
	 * @param now the current time in nanoseconds
	 */
	void serve(String service, long now) {
		serve(this.queues.get(service), now);
	}

	/**
	 * Refuses queued requests that have expired and dispatches those that find a slot.
	 * @param now the current time in nanoseconds
	 */
	void tick(long now) {
		this.queues.values().forEach((queue) -> {
			queue.blocked = false;
			serve(queue, now);
		});
	}

	/**
	 * Returns the number of queued requests.
	 * @return the number of queued requests
	 */
	int queuedRequests() {
		return this.queues.values().stream().mapToInt((queue) -> queue.requests.size()).sum();
	}

	private void serve(ServiceQueue queue, long now) {
		expire(queue, now);
		boolean served = !queue.blocked;
		while (served) {
			served = queue.requests.serveNext((request) -> startAttempt(queue, request, now), now);
		}
		queue.blocked = queue.requests.size() > 0;
	}

	private void expire(ServiceQueue queue, long now) {
		if (now - queue.lastExpiryAt >= EXPIRY_INTERVAL_NANOS) {
			queue.lastExpiryAt = now;
			queue.requests.removeIf((request) -> isExpired(request, now))
				.forEach((request) -> this.refuse.accept(request, expiryRefusal(request, now)));
		}
	}

	/**
	 * Starts an attempt if a slot is free. An attempt at a slot that may be in use
	 * acquires its retry in advance, so that a shed attempt can always be retried.
	 * @param queue the queue of the service
	 * @param request the request
	 * @param now the current time in nanoseconds
	 * @return whether an attempt was started
	 */
	private boolean startAttempt(ServiceQueue queue, InFlightRequest request, long now) {
		String service = request.incoming().match().service().name();
		boolean speculative = request.attempts() + 1 < MAXIMUM_ATTEMPTS && budget(request).hasSpareRetries();
		Balancer.Overflow overflow = speculative ? allowedOverflow(queue, request, now) : Balancer.Overflow.NONE;
		Balancer.Demand demand = new Balancer.Demand(service, request.triedServers(), overflow,
				this.regions.order(service, now), now - request.queuedAt(),
				(region) -> this.regions.tryAcquireCapacity(region, now));
		Optional<Balancer.Choice> choice = this.balancer.choose(demand, now);
		choice.ifPresent((chosen) -> {
			request.reserveRetry(chosen.speculative() && budget(request).tryAcquire());
			request.assign(chosen.server());
			request.incoming().handler().dispatch(chosen.server());
		});
		return choice.isPresent();
	}

	/**
	 * Returns which slots of other entry hosts a request may use. If one organisation is
	 * dominant, only its requests probe for free slots, and only at mostly idle backend
	 * servers; the others use slots that are reported as free.
	 * @param queue the queue of the service
	 * @param request the request
	 * @param now the current time in nanoseconds
	 * @return the slots of other entry hosts that the request may use
	 */
	private static Balancer.Overflow allowedOverflow(ServiceQueue queue, InFlightRequest request, long now) {
		String dominant = queue.requests.dominantOrganisation(now);
		if (dominant.isEmpty()) {
			return Balancer.Overflow.ANY;
		}
		return dominant.equals(request.incoming().organisation()) ? Balancer.Overflow.IDLE
				: Balancer.Overflow.REPORTED_FREE;
	}

	private boolean tryAcquireRetry(InFlightRequest request) {
		boolean reserved = request.isRetryReserved();
		request.reserveRetry(false);
		return reserved || budget(request).tryAcquire();
	}

	private ServiceQueue queue(InFlightRequest request) {
		return this.queues.computeIfAbsent(request.incoming().match().service().name(), (name) -> new ServiceQueue());
	}

	private RetryBudget budget(InFlightRequest request) {
		return this.budgets.computeIfAbsent(request.incoming().organisation(), (name) -> new RetryBudget());
	}

	private static boolean isExpired(InFlightRequest request, long now) {
		return request.incoming().deadline() - now < MINIMUM_REMAINING_NANOS
				|| now - request.queuedAt() > MAXIMUM_WAIT_NANOS;
	}

	private static Refusal expiryRefusal(InFlightRequest request, long now) {
		if (request.incoming().deadline() - now < MINIMUM_REMAINING_NANOS) {
			return Refusal.of(ErrorKind.DEADLINE_EXCEEDED);
		}
		return overloadRefusal(request);
	}

	private static Refusal overloadRefusal(InFlightRequest request) {
		return request.mayHaveRun() ? Refusal.of(ErrorKind.BACKEND_LOST)
				: Refusal.of(ErrorKind.OVERLOADED).withRetryAfterMillis(RETRY_AFTER_MILLIS);
	}

	/**
	 * The queue of requests of one service.
	 */
	private static final class ServiceQueue {

		private final FairQueue<InFlightRequest> requests = new FairQueue<>(QUEUE_CAPACITY_PER_ORGANISATION);

		/**
		 * Whether no backend server had a free slot for the queued requests when they
		 * were last served.
		 */
		private boolean blocked;

		private long lastExpiryAt;

	}

}
