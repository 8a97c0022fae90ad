package io.masticlane.store;

import java.util.concurrent.CompletableFuture;

/**
 * Leases of the platform's store. A call without an answer fails with a
 * {@link StoreException}.
 */
public interface Leases {

	/**
	 * Grants a new lease.
	 * @param seconds the time to live in seconds
	 * @return the identifier of the lease
	 */
	CompletableFuture<Long> grantLease(long seconds);

	/**
	 * Renews a lease.
	 * @param lease the identifier of the lease
	 * @return whether the lease was still alive and is renewed
	 */
	CompletableFuture<Boolean> renewLease(long lease);

	/**
	 * Revokes a lease, which deletes its keys.
	 * @param lease the identifier of the lease
	 * @return a future that completes when the lease is revoked
	 */
	CompletableFuture<Void> revokeLease(long lease);

}
