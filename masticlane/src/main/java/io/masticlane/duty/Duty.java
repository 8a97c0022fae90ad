package io.masticlane.duty;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import io.masticlane.event.Event;
import io.masticlane.event.EventLog;
import org.agrona.concurrent.ManyToOneConcurrentArrayQueue;

/**
 * A thread that executes commands from a bounded ring, and a tick at a regular interval.
 */
public final class Duty implements AutoCloseable {

	private static final int MAXIMUM_BATCH = 256;

	private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

	private final ManyToOneConcurrentArrayQueue<Runnable> ring;

	private final long tickNanos;

	private final Runnable tick;

	private final EventLog events;

	private final Thread thread;

	private volatile boolean idle;

	private volatile boolean closed;

	/**
	 * Creates a new duty and starts its thread.
	 * @param name the name of the duty and its thread
	 * @param capacity the maximum number of commands in the ring
	 * @param tickMillis the interval between ticks in milliseconds
	 * @param tick the action at each tick
	 * @param events the log of failed commands
	 */
	public Duty(String name, int capacity, long tickMillis, Runnable tick, EventLog events) {
		this.ring = new ManyToOneConcurrentArrayQueue<>(capacity);
		this.tickNanos = TimeUnit.MILLISECONDS.toNanos(tickMillis);
		this.tick = tick;
		this.events = events;
		this.thread = new Thread(this::run, name);
		this.thread.setDaemon(true);
		this.thread.start();
	}

	/**
	 * Offers a command without waiting.
	 * @param command the command to execute on the duty's thread
	 * @return whether the ring had room for the command
	 */
	public boolean offer(Runnable command) {
		if (this.closed || !this.ring.offer(command)) {
			return false;
		}
		if (this.idle) {
			LockSupport.unpark(this.thread);
		}
		return true;
	}

	@Override
	public void close() {
		this.closed = true;
		LockSupport.unpark(this.thread);
		if (Thread.currentThread() != this.thread) {
			try {
				this.thread.join(CLOSE_TIMEOUT_MILLIS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
	}

	private void run() {
		long nextTick = System.nanoTime();
		while (!this.closed) {
			int executed = this.ring.drain(this::execute, MAXIMUM_BATCH);
			long now = System.nanoTime();
			if (now - nextTick >= 0) {
				execute(this.tick);
				nextTick = now + this.tickNanos;
			}
			if (executed == 0) {
				pause(nextTick - now);
			}
		}
	}

	private void pause(long nanos) {
		this.idle = true;
		if (this.ring.isEmpty() && !this.closed) {
			LockSupport.parkNanos(Math.max(1, nanos));
		}
		this.idle = false;
	}

	private void execute(Runnable command) {
		try {
			command.run();
		}
		catch (RuntimeException ex) {
			this.events.record(Event.DUTY_FAILED, this.thread.getName(), ex);
		}
	}

}
