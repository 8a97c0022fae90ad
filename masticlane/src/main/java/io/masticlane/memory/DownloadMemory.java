package io.masticlane.memory;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The part of a {@link MessageMemory} that the bodies of downloads may occupy, including
 * the reservations for those that have not arrived. Other messages always have the rest.
 * Confined to one event loop.
 */
public final class DownloadMemory {

	/**
	 * The fraction of the memory that downloads may hold. A gateway with a heap of 96 MB
	 * has 14 MB for other messages: 50 requests per second with 64 kB each for 4 s.
	 */
	static final double FRACTION = 0.7;

	/**
	 * The fraction of the part that can be reserved. The rest is left to bodies that are
	 * larger than their reservations, 2 MB with a heap of 96 MB. Of sizes spread from 90
	 * to 540 kB, a body needs 100 kB less than its reservation on average, with a
	 * deviation of 130 kB, so that the rest is practically never exhausted.
	 */
	private static final double RESERVABLE_FRACTION = 15.0 / 16;

	/**
	 * The largest fraction of the part that one reservation takes, however large the
	 * recent responses of its route were. Otherwise a route with larger ones would never
	 * be served again.
	 */
	private static final double LARGEST_RESERVATION_FRACTION = 0.125;

	/**
	 * What an organisation may hold relative to the free memory of the part: a single one
	 * at most two thirds, two of them two fifths each. Some memory is always left for an
	 * organisation that holds none.
	 */
	private static final double ORGANISATION_FACTOR = 2;

	private final MessageMemory memory;

	private final long limitBytes;

	private final Map<String, Long> heldByOrganisation = new HashMap<>();

	private boolean shared;

	private long heldBytes;

	private long usedBytes;

	private long freedBytes;

	private long refusedForMemory;

	private long refusedForOrganisation;

	DownloadMemory(MessageMemory memory) {
		this.memory = memory;
		this.limitBytes = (long) (memory.limitBytes() * FRACTION);
	}

	/**
	 * Sets whether several organisations share the memory.
	 * @param several whether what one organisation may hold is bounded
	 */
	public void shared(boolean several) {
		this.shared = several;
	}

	/**
	 * Reserves memory for a download before its request is sent.
	 * @param organisation the organisation of the caller
	 * @param estimateBytes the estimated size of the body
	 * @return the reservation, which must be closed, or empty if there is no memory
	 */
	public Optional<Reservation> reserve(String organisation, long estimateBytes) {
		long bytes = Math.min(estimateBytes, (long) (this.limitBytes * LARGEST_RESERVATION_FRACTION));
		boolean evicted = true;
		while (evicted && isUnreservable(bytes)) {
			evicted = this.memory.evictExcess(bytes);
		}
		if (isUnreservable(bytes)) {
			this.refusedForMemory++;
			return Optional.empty();
		}
		long own = this.heldByOrganisation.getOrDefault(organisation, 0L);
		if (this.shared && own > 0 && own + bytes > ORGANISATION_FACTOR * (this.limitBytes - this.heldBytes - bytes)) {
			this.refusedForOrganisation++;
			return Optional.empty();
		}
		Reservation reservation = new Reservation(this, organisation, bytes);
		changed(reservation, bytes, 0);
		return Optional.of(reservation);
	}

	/**
	 * Returns the bytes that downloads may hold.
	 * @return the number of bytes
	 */
	public long limitBytes() {
		return this.limitBytes;
	}

	/**
	 * Returns the bytes that the bodies of downloads occupy.
	 * @return the number of bytes
	 */
	public long usedBytes() {
		return this.usedBytes;
	}

	/**
	 * Returns the bytes that are reserved and not occupied yet.
	 * @return the number of bytes
	 */
	public long unusedBytes() {
		return this.heldBytes - this.usedBytes;
	}

	/**
	 * Returns the bytes that were given back since the start.
	 * @return the number of bytes
	 */
	public long freedBytes() {
		return this.freedBytes;
	}

	/**
	 * Returns the reservations that were refused since the start because the memory was
	 * held by others.
	 * @return the number of reservations
	 */
	public long refusedForMemory() {
		return this.refusedForMemory;
	}

	/**
	 * Returns the reservations that were refused since the start because their
	 * organisation held much of the memory.
	 * @return the number of reservations
	 */
	public long refusedForOrganisation() {
		return this.refusedForOrganisation;
	}

	MessageBody newBody(Runnable evicted, Reservation reservation, long expectedBytes) {
		return new MessageBody(this.memory, evicted, Optional.of(reservation), expectedBytes);
	}

	/**
	 * Returns whether downloads can not hold more.
	 * @param bytes the bytes in addition to those that are held
	 * @return whether there is no room for them
	 */
	boolean isShortOf(long bytes) {
		return bytes > 0 && this.heldBytes + bytes > this.limitBytes || this.memory.isShortOf(bytes);
	}

	void changed(Reservation reservation, long held, long used) {
		this.heldBytes += held;
		this.usedBytes += used;
		this.freedBytes += Math.max(0, -held);
		if (held != 0) {
			this.heldByOrganisation.merge(reservation.organisation(), held,
					(before, change) -> (before + change != 0) ? before + change : null);
		}
	}

	private boolean isUnreservable(long bytes) {
		return this.heldBytes + bytes > this.limitBytes * RESERVABLE_FRACTION || this.memory.isShortOf(bytes);
	}

}
