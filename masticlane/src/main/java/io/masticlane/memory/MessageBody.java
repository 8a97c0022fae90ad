package io.masticlane.memory;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;

/**
 * The body of a message that is being read. Its bytes are copied into segments of growing
 * size: a slice of a read buffer would keep the whole buffer alive, however short the
 * slice.
 */
public final class MessageBody {

	private static final int MAXIMUM_SEGMENT_BYTES = 64 * 1024;

	/**
	 * The length from which a body can be evicted.
	 */
	private static final int EVICTABLE_BYTES = 32 * 1024;

	private final MessageMemory memory;

	private final Runnable evicted;

	private final Optional<Reservation> reservation;

	private final long expectedBytes;

	private final List<ByteBuf> segments = new ArrayList<>(1);

	private long length;

	MessageBody(MessageMemory memory, Runnable evicted, Optional<Reservation> reservation, long expectedBytes) {
		this.memory = memory;
		this.evicted = evicted;
		this.reservation = reservation;
		this.expectedBytes = expectedBytes;
	}

	/**
	 * Returns the length of the body as read so far.
	 * @return the length in bytes
	 */
	public long length() {
		return this.length;
	}

	/**
	 * Appends a copy of the readable bytes of a buffer.
	 * @param content the buffer, whose reference count stays as it is
	 * @return whether there was memory for the bytes; if not, the body is discarded
	 */
	public boolean append(ByteBuf content) {
		while (content.isReadable()) {
			ByteBuf tail = this.segments.isEmpty() ? Unpooled.EMPTY_BUFFER
					: this.segments.get(this.segments.size() - 1);
			if (!tail.isWritable()) {
				Optional<ByteBuf> added = this.memory.allocate(this, segmentBytes(content.readableBytes()));
				if (added.isEmpty()) {
					discard();
					return false;
				}
				tail = added.get();
				this.segments.add(tail);
			}
			int count = Math.min(tail.writableBytes(), content.readableBytes());
			tail.writeBytes(content, count);
			this.length += count;
		}
		if (this.length >= EVICTABLE_BYTES) {
			this.memory.addEvictable(this);
		}
		return true;
	}

	/**
	 * Completes the body, which can no longer be evicted.
	 * @return the content, which the caller releases
	 */
	public ByteBuf complete() {
		this.memory.removeEvictable(this);
		if (this.segments.size() <= 1) {
			return this.segments.isEmpty() ? Unpooled.EMPTY_BUFFER : this.segments.get(0);
		}
		CompositeByteBuf content = Unpooled.compositeBuffer(Integer.MAX_VALUE);
		this.segments.forEach((segment) -> content.addComponent(true, segment));
		return content;
	}

	/**
	 * Discards the body and releases its memory.
	 */
	public void discard() {
		this.memory.removeEvictable(this);
		this.segments.forEach(ByteBuf::release);
		this.segments.clear();
		this.length = 0;
	}

	Optional<Reservation> reservation() {
		return this.reservation;
	}

	/**
	 * Returns the bytes for which the body can be evicted if it grows: all of an ordinary
	 * body, and what exceeds the reservation of a download.
	 * @param growth the bytes by which it grows
	 * @return the number of bytes
	 */
	long evictableBytes(long growth) {
		return this.reservation.map((reserved) -> reserved.excessBytes(growth)).orElse(this.length + growth);
	}

	private int segmentBytes(int readableBytes) {
		long growth = Math.min(MAXIMUM_SEGMENT_BYTES, Math.max(readableBytes, this.length));
		return (int) ((this.expectedBytes > this.length) ? Math.min(growth, this.expectedBytes - this.length) : growth);
	}

	void evict() {
		discard();
		this.evicted.run();
	}

}
