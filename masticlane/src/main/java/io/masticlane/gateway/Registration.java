package io.masticlane.gateway;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

import io.masticlane.fleet.Gateway;
import io.masticlane.fleet.GatewayEntry;
import io.masticlane.store.SharedState;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * Keeps the entry of this gateway in the store while its process is running.
 */
final class Registration {

	private static final long NO_LEASE = 0;

	private final EventLoop loop;

	private final SharedState store;

	private final Supplier<Gateway> self;

	private final long leaseSeconds;

	private final BiConsumer<Long, String> failureListener;

	private long lease = NO_LEASE;

	private long renewedAt = System.nanoTime();

	private Optional<Long> writtenAt = Optional.empty();

	private ScheduledFuture<?> nextStep;

	private boolean stopped;

	Registration(EventLoop loop, SharedState store, Supplier<Gateway> self, double minimumLeaseSeconds,
			BiConsumer<Long, String> failureListener) {
		this.loop = loop;
		this.store = store;
		this.self = self;
		this.leaseSeconds = Math.max(GatewayTimes.LEASE_SECONDS, (long) Math.ceil(minimumLeaseSeconds));
		this.failureListener = failureListener;
	}

	void start() {
		if (this.stopped) {
			return;
		}
		this.writtenAt = Optional.empty();
		long askedAt = System.nanoTime();
		this.store.grantLease(this.leaseSeconds).whenComplete((granted, failure) -> {
			if (failure != null) {
				retry(this::start, "no lease was granted", failure);
				return;
			}
			this.renewedAt = askedAt;
			this.lease = granted;
			write();
		});
	}

	/**
	 * Writes the entry again after its content changed. A failed write is repeated, since
	 * renewals of the lease would keep the former content.
	 */
	void rewrite() {
		if (this.lease != NO_LEASE && !this.stopped) {
			put().whenComplete((written, failure) -> {
				if (failure != null && !this.stopped) {
					failed("the entry was not written", failure);
					this.loop.schedule(this::rewrite, GatewayTimes.RETRY_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
				}
			});
		}
	}

	/**
	 * Registers anew if a snapshot of the store does not contain the entry although it
	 * had been written before. A restored store lacks the lease as well, or has granted
	 * its number to another gateway.
	 * @param snapshotStartedAt when the snapshot was begun, in nanoseconds
	 */
	void entryMissing(long snapshotStartedAt) {
		if (this.writtenAt.filter((written) -> snapshotStartedAt - written > 0).isPresent()) {
			this.failureListener.accept(this.lease, "the store no longer contains the entry");
			start();
		}
	}

	/**
	 * Returns the time since this gateway asked for the last lease or renewal that it was
	 * granted. The store counts the lease from a later moment.
	 * @return the time in nanoseconds
	 */
	long nanosSinceRenewal() {
		return System.nanoTime() - this.renewedAt;
	}

	void stop() {
		this.stopped = true;
		if (this.lease != NO_LEASE) {
			this.store.revokeLease(this.lease);
		}
	}

	private void write() {
		put().whenComplete((written, failure) -> {
			if (failure != null) {
				retry(this::write, "the entry was not written", failure);
			}
			else if (written) {
				this.writtenAt = Optional.of(System.nanoTime());
				schedule(this::renew, GatewayTimes.RENEW_INTERVAL_MILLIS);
			}
			else {
				start();
			}
		});
	}

	private void renew() {
		if (this.stopped) {
			return;
		}
		long askedAt = System.nanoTime();
		long renewed = this.lease;
		this.store.renewLease(renewed).whenComplete((alive, failure) -> {
			if (this.writtenAt.isEmpty() || renewed != this.lease) {
				// The gateway has registered anew in the meantime.
				return;
			}
			if (failure != null) {
				retry(this::renew, "the lease was not renewed", failure);
			}
			else if (alive) {
				this.renewedAt = askedAt;
				schedule(this::renew, GatewayTimes.RENEW_INTERVAL_MILLIS);
			}
			else {
				this.failureListener.accept(this.lease, "the lease expired");
				start();
			}
		});
	}

	private CompletableFuture<Boolean> put() {
		Gateway entry = this.self.get();
		return this.store.put(GatewayEntry.key(entry.host()), GatewayEntry.encode(entry), this.lease);
	}

	private void retry(Runnable task, String message, Throwable failure) {
		if (!this.stopped) {
			failed(message, failure);
			schedule(task, GatewayTimes.RETRY_PAUSE_MILLIS);
		}
	}

	private void failed(String message, Throwable failure) {
		this.failureListener.accept(this.lease, message + ": " + failure.getMessage());
	}

	private void schedule(Runnable task, long millis) {
		if (this.nextStep != null) {
			this.nextStep.cancel(false);
		}
		this.nextStep = this.loop.schedule(task, millis, TimeUnit.MILLISECONDS);
	}

}
