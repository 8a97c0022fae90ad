package io.masticlane.share;

/**
 * The keys of shares in the store. The share manager receives the result of a call later,
 * or never.
 */
public interface ShareStore {

	/**
	 * The time to live of a lease in seconds.
	 */
	long LEASE_SECONDS = 7;

	/**
	 * Returns whether a lease was granted and is not known to be lost.
	 * @return whether there is a lease
	 */
	boolean hasLease();

	/**
	 * Renews the lease, or requests one if there is none.
	 * @param now the current time in nanoseconds
	 */
	void renewOrRequestLease(long now);

	/**
	 * Lists all keys.
	 * @param now the current time in nanoseconds
	 */
	void listKeys(long now);

	/**
	 * Requests that a peer renews the lease.
	 * @param host the name of the peer's entry host
	 * @param now the current time in nanoseconds
	 */
	void relayRenewal(String host, long now);

	/**
	 * Creates the key of a share, bound to the lease.
	 * @param host the name of the entry host that owns the share
	 * @param now the current time in nanoseconds
	 */
	void createKey(String host, long now);

	/**
	 * Requests that the holder of this entry host's share returns it.
	 * @param host the name of this entry host
	 */
	void requestReturn(String host);

	/**
	 * Deletes the key of a share that is returned.
	 * @param host the name of the entry host that owns the share
	 * @param revision the revision of the key
	 */
	void deleteKey(String host, long revision);

	/**
	 * A key of a share.
	 *
	 * @param host the name of the entry host that owns the share
	 * @param wanted whether the key requests the return of the share, rather than marks
	 * its holder
	 * @param local whether the key was written by this process under its current lease
	 * @param revision the revision of the key
	 */
	record Key(String host, boolean wanted, boolean local, long revision) {

		boolean holds(String host) {
			return !this.wanted && this.host.equals(host);
		}

	}

}
