package io.masticlane.operation;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

import io.masticlane.operation.Operations.Verdict.Kind;
import io.masticlane.store.Store;

/**
 * Claims an operation by creating a key in the platform's store. The key is attached to a
 * lease, so that the store deletes old claims.
 */
public final class StoreOperations implements Operations {

	/**
	 * The time to live of a lease. A lease is reused for one hour, so each claim is kept
	 * for at least 24 hours.
	 */
	private static final long LEASE_SECONDS = TimeUnit.HOURS.toSeconds(25);

	private static final long LEASE_REUSE_NANOS = TimeUnit.HOURS.toNanos(1);

	private final Store store;

	private final String prefix;

	private final String incarnation;

	private final Executor decisionExecutor;

	private CompletableFuture<Long> lease = CompletableFuture
		.failedFuture(new IllegalStateException("no lease was requested yet"));

	private long leaseRequestedAt;

	private long lastClaim;

	/**
	 * Creates new operations.
	 * @param store the platform's store
	 * @param prefix the prefix of all keys in the store
	 * @param incarnation the identifier of this process
	 * @param decisionExecutor the executor on which verdicts are delivered
	 */
	public StoreOperations(Store store, String prefix, String incarnation, Executor decisionExecutor) {
		this.store = store;
		this.prefix = prefix;
		this.incarnation = incarnation;
		this.decisionExecutor = decisionExecutor;
	}

	@Override
	public void claim(Operation operation, long now, VerdictReceiver receiver) {
		String key = this.prefix + "operations/" + operation.organisation() + "/" + operation.key();
		byte[] nonce = (this.incarnation + "/" + ++this.lastClaim).getBytes(StandardCharsets.UTF_8);
		lease(now).thenCompose((leaseId) -> create(key, nonce, leaseId))
			.exceptionally((failure) -> Verdict.of(Kind.UNKNOWN))
			.thenAcceptAsync((verdict) -> receiver.receive(verdict, System.nanoTime()), this.decisionExecutor);
	}

	@Override
	public boolean isKnownNotRun(Operation operation) {
		return false;
	}

	private CompletableFuture<Long> lease(long now) {
		if (this.lease.isCompletedExceptionally() || now - this.leaseRequestedAt >= LEASE_REUSE_NANOS) {
			this.leaseRequestedAt = now;
			this.lease = this.store.grantLease(LEASE_SECONDS);
		}
		return this.lease;
	}

	private CompletableFuture<Verdict> create(String key, byte[] nonce, long leaseId) {
		return this.store.compareAndSet(key, Store.ABSENT, nonce, leaseId)
			.thenApply((result) -> result.succeeded() ? grant(key, result.revision()) : Verdict.of(Kind.UNKNOWN))
			.handle((verdict, failure) -> (failure != null) ? readBack(key, nonce)
					: CompletableFuture.completedFuture(verdict))
			.thenCompose((verdict) -> verdict);
	}

	/**
	 * Reads a claim whose reply was lost. The verdict is {@link Kind#UNKNOWN} if the key
	 * is absent, because the write may still take effect.
	 * @param key the key of the claim
	 * @param nonce the value that this claim writes
	 * @return the verdict
	 */
	private CompletableFuture<Verdict> readBack(String key, byte[] nonce) {
		return this.store.read(key)
			.thenApply((found) -> found.filter((entry) -> Arrays.equals(entry.value(), nonce))
				.map((entry) -> grant(key, entry.revision()))
				.orElse(Verdict.of(Kind.UNKNOWN)));
	}

	private Verdict grant(String key, long revision) {
		return Verdict.granted(new StoredGrant(key, revision));
	}

	private final class StoredGrant implements Grant {

		private final String key;

		private final long revision;

		private StoredGrant(String key, long revision) {
			this.key = key;
			this.revision = revision;
		}

		@Override
		public void release() {
			StoreOperations.this.store.compareAndDelete(this.key, this.revision);
		}

		@Override
		public void end(Optional<RecordedResponse> response) {
		}

	}

}
