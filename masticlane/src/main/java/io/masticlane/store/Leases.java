package io.masticlane.store;

import java.util.concurrent.CompletableFuture;

/**
 * Grants, renews and revokes leases of the platform's store. A call without a valid
 * response fails with a {@link StoreException}.
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
	 * @return whether the lease was renewed; {@code false} if it had expired
	 */
	CompletableFuture<Boolean> renewLease(long lease);

	/**
	 * Revokes a lease, which deletes the keys that are attached to it.
	 * @param lease the identifier of the lease
	 * @return a future that completes when the lease is revoked
	 */
	CompletableFuture<Void> revokeLease(long lease);

}
