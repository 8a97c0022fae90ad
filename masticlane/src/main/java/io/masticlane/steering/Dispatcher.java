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
 * Holds requests in a fair queue for each service until a backend server has a free slot,
 * and allows retries within a budget of each organisation.
 */
final class Dispatcher {

	private static final int QUEUE_CAPACITY = 128;

	private static final int MAXIMUM_ATTEMPTS = 8;

	private static final long LONGEST_WAIT_NANOS = TimeUnit.SECONDS.toNanos(2);

	/**
	 * The time before a deadline in which no attempt is begun.
	 */
	private static final long LEAST_TIME_NANOS = TimeUnit.MILLISECONDS.toNanos(2);

	private static final long EXPIRY_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

	private static final long RETRY_AFTER_MILLIS = 500;

	private final Balancer balancer;

	private final RegionOrder regions;

	private final BiConsumer<InFlightRequest, Refusal> refuse;

	private final Map<String, ServiceQueue> queues = new HashMap<>();

	private final Map<String, RetryBudget> budgets = new HashMap<>();

	/**
	 * Creates a new dispatcher.
	 * @param balancer the choice between backend servers
	 * @param regions the choice between regions
	 * @param refuse refuses a request that no backend server has
	 */
	Dispatcher(Balancer balancer, RegionOrder regions, BiConsumer<InFlightRequest, Refusal> refuse) {
		this.balancer = balancer;
		this.regions = regions;
		this.refuse = refuse;
	}

	/**
	 * Dispatches a request for the first time, or queues it.
	 * @param flight the request
	 * @param now the present in nanoseconds
	 */
	void dispatch(InFlightRequest flight, long now) {
		budget(flight).recordFirstAttempt();
		flight.markQueued(now);
		ServiceQueue queue = queue(flight);
		if (queue.waiting.offer(flight.request().organisation(), flight)) {
			serve(queue, now);
		}
		else {
			this.refuse.accept(flight, overloaded(flight));
		}
	}

	/**
	 * Queues a request again, which comes before the others of its organisation.
	 * @param flight the request
	 */
	void retry(InFlightRequest flight) {
		if (flight.attempts() < MAXIMUM_ATTEMPTS && retryTaken(flight)) {
			ServiceQueue queue = queue(flight);
			queue.waiting.requeueFirst(flight.request().organisation(), flight);
		}
		else {
			this.refuse.accept(flight, overloaded(flight));
		}
	}

	/**
	 * Ends the last attempt of a request that is not tried again.
	 * @param flight the request
	 */
	void refundReservedRetry(InFlightRequest flight) {
		if (flight.isRetryReserved()) {
			flight.reserveRetry(false);
			budget(flight).refund();
		}
	}

	/**
	 * Forgets a request that may be queued.
	 * @param flight the request
	 */
	void remove(InFlightRequest flight) {
		queue(flight).waiting.removeIf((each) -> each == flight);
	}

	/**
	 * Receives the end of an attempt, whose slot became free.
	 * @param flight the request
	 */
	void attemptEnded(InFlightRequest flight) {
		queue(flight).blocked = false;
	}

	/**
	 * Dispatches queued requests of a service.
	 * @param service the name of the service
	 * @param now the present in nanoseconds
	 */
	void serve(String service, long now) {
		serve(this.queues.get(service), now);
	}

	/**
	 * Refuses queued requests whose time is over, and dispatches those that can be.
	 * @param now the present in nanoseconds
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
		return this.queues.values().stream().mapToInt((queue) -> queue.waiting.size()).sum();
	}

	private void serve(ServiceQueue queue, long now) {
		expire(queue, now);
		boolean served = !queue.blocked;
		while (served) {
			served = queue.waiting.serveNext((flight) -> begin(queue, flight, now), now);
		}
		queue.blocked = queue.waiting.size() > 0;
	}

	private void expire(ServiceQueue queue, long now) {
		if (now - queue.expiredAt >= EXPIRY_NANOS) {
			queue.expiredAt = now;
			queue.waiting.removeIf((flight) -> expired(flight, now))
				.forEach((flight) -> this.refuse.accept(flight, expiry(flight, now)));
		}
	}

	/**
	 * Begins an attempt, if a slot is free. An attempt in a slot that may be in use takes
	 * its retry ahead, so that it is never refused for being shed.
	 * @param queue the queue of the service
	 * @param flight the request
	 * @param now the present in nanoseconds
	 * @return whether an attempt was begun
	 */
	private boolean begin(ServiceQueue queue, InFlightRequest flight, long now) {
		String service = flight.request().match().service().name();
		boolean speculative = flight.attempts() + 1 < MAXIMUM_ATTEMPTS && budget(flight).hasSpareRetries();
		Balancer.Overflow overflow = speculative ? overflow(queue, flight, now) : Balancer.Overflow.NONE;
		Balancer.Demand demand = new Balancer.Demand(service, flight.triedServers(), overflow,
				this.regions.order(service, now), now - flight.queuedAt(),
				(region) -> this.regions.tryAcquireCapacity(region, now));
		Optional<Balancer.Choice> choice = this.balancer.choose(demand, now);
		choice.ifPresent((chosen) -> {
			flight.reserveRetry(chosen.speculative() && budget(flight).tryAcquire());
			flight.assign(chosen.server());
			flight.request().handler().dispatch(chosen.server());
		});
		return choice.isPresent();
	}

	/**
	 * Leaves it to a dominant organisation, if there is one, to find out whether slots of
	 * others are free, and keeps it to backend servers that are idle for the most part.
	 * @param queue the queue of the service
	 * @param flight the request
	 * @param now the present in nanoseconds
	 * @return the slots of others that the request may use
	 */
	private static Balancer.Overflow overflow(ServiceQueue queue, InFlightRequest flight, long now) {
		String dominant = queue.waiting.dominantOrganisation(now);
		if (dominant.isEmpty()) {
			return Balancer.Overflow.ANY;
		}
		return dominant.equals(flight.request().organisation()) ? Balancer.Overflow.IDLE
				: Balancer.Overflow.REPORTED_FREE;
	}

	private boolean retryTaken(InFlightRequest flight) {
		boolean reserved = flight.isRetryReserved();
		flight.reserveRetry(false);
		return reserved || budget(flight).tryAcquire();
	}

	private ServiceQueue queue(InFlightRequest flight) {
		return this.queues.computeIfAbsent(flight.request().match().service().name(), (name) -> new ServiceQueue());
	}

	private RetryBudget budget(InFlightRequest flight) {
		return this.budgets.computeIfAbsent(flight.request().organisation(), (name) -> new RetryBudget());
	}

	private static boolean expired(InFlightRequest flight, long now) {
		return flight.request().deadline() - now < LEAST_TIME_NANOS || now - flight.queuedAt() > LONGEST_WAIT_NANOS;
	}

	private static Refusal expiry(InFlightRequest flight, long now) {
		if (flight.request().deadline() - now < LEAST_TIME_NANOS) {
			return Refusal.of(ErrorKind.DEADLINE_EXCEEDED);
		}
		return overloaded(flight);
	}

	private static Refusal overloaded(InFlightRequest flight) {
		return flight.mayHaveRun() ? Refusal.of(ErrorKind.BACKEND_LOST)
				: Refusal.of(ErrorKind.OVERLOADED).withRetryAfterMillis(RETRY_AFTER_MILLIS);
	}

	/**
	 * The queue of one service.
	 */
	private static final class ServiceQueue {

		private final FairQueue<InFlightRequest> waiting = new FairQueue<>(QUEUE_CAPACITY);

		/**
		 * Whether no backend server could take the entry whose turn it is.
		 */
		private boolean blocked;

		private long expiredAt;

	}

}
