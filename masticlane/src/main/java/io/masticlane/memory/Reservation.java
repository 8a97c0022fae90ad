package io.masticlane.memory;

/**
 * The memory of one download: reserved before its request is sent, and occupied by the
 * body of its response as that arrives. Until it is closed, it holds the larger of both,
 * so that no byte counts twice and a body that is discarded leaves its memory to the next
 * attempt. Afterwards it holds what the body occupies until it is written.
 */
public final class Reservation {

	private final DownloadMemory downloads;

	private final String organisation;

	private long reservedBytes;

	private long usedBytes;

	private boolean open = true;

	Reservation(DownloadMemory downloads, String organisation, long reservedBytes) {
		this.downloads = downloads;
		this.organisation = organisation;
		this.reservedBytes = reservedBytes;
	}

	/**
	 * Starts the body of a response. The reservation follows its length if that is known,
	 * and grows only if there is room.
	 * @param evicted called after the body was discarded in favour of others
	 * @param expectedBytes the length of the body, or a negative number if it is unknown
	 * @return the empty body
	 */
	public MessageBody newBody(Runnable evicted, long expectedBytes) {
		if (this.open && expectedBytes >= 0 && !this.downloads.isShortOf(Math.max(0, expectedBytes - heldBytes()))) {
			update(() -> this.reservedBytes = expectedBytes);
		}
		return this.downloads.newBody(evicted, this, expectedBytes);
	}

	/**
	 * Returns the length above which a body does not fit into the memory of downloads.
	 * @return the number of bytes
	 */
	public long maximumBytes() {
		return this.downloads.limitBytes();
	}

	/**
	 * Returns the bytes that the body occupies.
	 * @return the number of bytes
	 */
	public long usedBytes() {
		return this.usedBytes;
	}

	/**
	 * Releases what the body does not occupy. Closing it again has no effect.
	 */
	public void close() {
		update(() -> this.open = false);
	}

	String organisation() {
		return this.organisation;
	}

	long heldBytes() {
		return this.open ? Math.max(this.reservedBytes, this.usedBytes) : this.usedBytes;
	}

	/**
	 * Returns how far the body would exceed the reservation if it grew.
	 * @param growth the bytes by which it grows
	 * @return the number of bytes
	 */
	long excessBytes(long growth) {
		return Math.max(0, this.usedBytes + growth - (this.open ? this.reservedBytes : 0));
	}

	void addUsedBytes(long bytes) {
		update(() -> this.usedBytes += bytes);
	}

	private void update(Runnable change) {
		long heldBefore = heldBytes();
		long usedBefore = this.usedBytes;
		change.run();
		this.downloads.changed(this, heldBytes() - heldBefore, this.usedBytes - usedBefore);
	}

}
