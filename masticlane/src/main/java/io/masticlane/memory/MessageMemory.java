package io.masticlane.memory;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.buffer.UnpooledHeapByteBuf;

/**
 * Limits the memory that the bodies of all messages of an event loop occupy together,
 * from their first byte until they are written. When the memory is exhausted, the largest
 * body that is still being read is evicted in favour of smaller ones, so that a few
 * endless messages do not end the others. Confined to one event loop.
 */
public final class MessageMemory {

	/**
	 * The fraction of the heap that bodies may occupy. The rest is left to the state of
	 * the process and to garbage between two collections.
	 */
	private static final double HEAP_FRACTION = 0.5;

	private static final long UNKNOWN_LENGTH = -1;

	private final long limitBytes;

	private final DownloadMemory downloads;

	private final Set<MessageBody> evictable = new HashSet<>();

	private long usedBytes;

	/**
	 * Creates a memory.
	 * @param limitBytes the bytes that all bodies may occupy together
	 */
	public MessageMemory(long limitBytes) {
		this.limitBytes = limitBytes;
		this.downloads = new DownloadMemory(this);
	}

	/**
	 * Creates the memory of one event loop, whose limit is a fraction of the maximum heap
	 * of the process.
	 * @param loops the number of event loops that share the heap
	 * @return the memory
	 */
	public static MessageMemory ofHeap(int loops) {
		return new MessageMemory((long) (Runtime.getRuntime().maxMemory() * HEAP_FRACTION / loops));
	}

	/**
	 * Starts a body.
	 * @param evicted called after the body was discarded in favour of others
	 * @return the empty body
	 */
	public MessageBody newBody(Runnable evicted) {
		return new MessageBody(this, evicted, Optional.empty(), UNKNOWN_LENGTH);
	}

	/**
	 * Returns the part of the memory that downloads may occupy.
	 * @return the part
	 */
	public DownloadMemory downloads() {
		return this.downloads;
	}

	/**
	 * Returns the bytes that bodies occupy.
	 * @return the number of bytes
	 */
	public long usedBytes() {
		return this.usedBytes;
	}

	/**
	 * Returns the bytes that all bodies may occupy together.
	 * @return the number of bytes
	 */
	public long limitBytes() {
		return this.limitBytes;
	}

	/**
	 * Allocates a segment of a body, evicting larger bodies if necessary. A download is
	 * evicted only for what exceeds its reservation.
	 * @param body the body that grows
	 * @param bytes the capacity of the segment in bytes
	 * @return the segment, or empty if there is no larger body to evict
	 */
	Optional<ByteBuf> allocate(MessageBody body, int bytes) {
		Optional<Reservation> reservation = body.reservation();
		long unreserved = Math.min(bytes, body.evictableBytes(bytes));
		while (isShortOf(unreserved) || reservation.isPresent() && this.downloads.isShortOf(unreserved)) {
			Optional<MessageBody> largest = largestEvictable(!isShortOf(unreserved));
			if (largest.isEmpty() || largest.get().evictableBytes(0) <= body.evictableBytes(bytes)) {
				return Optional.empty();
			}
			largest.get().evict();
		}
		this.usedBytes += bytes;
		reservation.ifPresent((each) -> each.addUsedBytes(bytes));
		return Optional.of(new Segment(UnpooledByteBufAllocator.DEFAULT, bytes, reservation));
	}

	/**
	 * Returns whether there is no more memory.
	 * @param bytes the bytes in addition to those that are occupied or reserved
	 * @return whether there is no room for them
	 */
	boolean isShortOf(long bytes) {
		return bytes > 0 && this.usedBytes + this.downloads.unusedBytes() + bytes > this.limitBytes;
	}

	/**
	 * Evicts the download that exceeds its reservation most.
	 * @param bytes the minimum number of bytes by which it exceeds it
	 * @return whether a download was evicted
	 */
	boolean evictExcess(long bytes) {
		Optional<MessageBody> largest = largestEvictable(true).filter((each) -> each.evictableBytes(0) >= bytes);
		largest.ifPresent(MessageBody::evict);
		return largest.isPresent();
	}

	private Optional<MessageBody> largestEvictable(boolean onlyDownloads) {
		return this.evictable.stream()
			.filter((each) -> !onlyDownloads || each.reservation().isPresent())
			.max(Comparator.comparingLong((each) -> each.evictableBytes(0)));
	}

	void addEvictable(MessageBody body) {
		this.evictable.add(body);
	}

	void removeEvictable(MessageBody body) {
		this.evictable.remove(body);
	}

	/**
	 * A buffer of fixed capacity whose memory counts until it is deallocated.
	 */
	private final class Segment extends UnpooledHeapByteBuf {

		private final Optional<Reservation> reservation;

		private Segment(ByteBufAllocator allocator, int capacity, Optional<Reservation> reservation) {
			super(allocator, capacity, capacity);
			this.reservation = reservation;
		}

		@Override
		protected void freeArray(byte[] array) {
			MessageMemory.this.usedBytes -= array.length;
			this.reservation.ifPresent((each) -> each.addUsedBytes(-array.length));
			super.freeArray(array);
		}

	}

}
