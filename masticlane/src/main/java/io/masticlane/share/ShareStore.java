package io.masticlane.share;

/**
 * The shares in the store; each call is answered to the keeper later, or never.
 */
public interface ShareStore {

	/**
	 * The time to live of a lease in seconds.
	 */
	long LEASE_SECONDS = 7;

	/**
	 * Tells whether a lease was granted and is not known to be lost.
	 * @return whether there is a lease
	 */
	boolean hasLease();

	/**
	 * Renews the lease, or asks for one.
	 * @param now the present in nanoseconds
	 */
	void renewOrRequestLease(long now);

	/**
	 * Lists all keys.
	 * @param now the present in nanoseconds
	 */
	void listKeys(long now);

	/**
	 * Asks a peer to renew the lease.
	 * @param host the name of the peer's entry host
	 * @param now the present in nanoseconds
	 */
	void relayRenewal(String host, long now);

	/**
	 * Creates the key of a share under the lease.
	 * @param host the name of the entry host whose share it is
	 * @param now the present in nanoseconds
	 */
	void createKey(String host, long now);

	/**
	 * Tells the holder of this entry host's share that its owner is back.
	 * @param host the name of this entry host
	 */
	void requestReturn(String host);

	/**
	 * Deletes the key of a share that is handed back.
	 * @param host the name of the entry host whose share it is
	 * @param revision the revision of the key
	 */
	void deleteKey(String host, long revision);

	/**
	 * A key of a share.
	 *
	 * @param host the name of the entry host whose share it is
	 * @param wanted whether the key tells that the owner is back, rather than who holds
	 * the share
	 * @param local whether the key belongs to this process and its present lease
	 * @param revision the revision of the key
	 */
	record Key(String host, boolean wanted, boolean local, long revision) {

		boolean holds(String host) {
			return !this.wanted && this.host.equals(host);
		}

	}

}
