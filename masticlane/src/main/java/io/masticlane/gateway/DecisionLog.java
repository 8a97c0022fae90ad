package io.masticlane.gateway;

import java.io.PrintStream;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

import io.masticlane.event.Event;
import io.masticlane.event.EventLog;
import org.agrona.concurrent.ManyToOneConcurrentArrayQueue;

/**
 * Writes events as lines of key=value pairs from a thread of its own. A full ring and a
 * rate above the bound drop lines and count them, so that a decision never waits.
 */
public final class DecisionLog implements EventLog, AutoCloseable {

	/**
	 * The lines that wait for the writer; at the bounded rate, those of ten seconds.
	 */
	private static final int RING_LINES = 1024;

	/**
	 * The lines a second that are written in the long run; enough for every failure of an
	 * ordinary day, and a hundredth of a core.
	 */
	private static final double LINES_PER_SECOND = 60;

	private static final double BURST_LINES = 400;

	/**
	 * The pause between writes, so that lines share a wake-up.
	 */
	private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

	private final ManyToOneConcurrentArrayQueue<String> ring = new ManyToOneConcurrentArrayQueue<>(RING_LINES);

	private final AtomicLong dropped = new AtomicLong();

	private final PrintStream output;

	private final Thread writer;

	private double allowance = BURST_LINES;

	private long allowedAt = System.nanoTime();

	private volatile boolean closed;

	/**
	 * Creates a log and starts its writer.
	 * @param output the stream to write to
	 */
	public DecisionLog(PrintStream output) {
		this.output = output;
		this.writer = new Thread(this::write, "log");
		this.writer.setDaemon(true);
		this.writer.start();
	}

	@Override
	public synchronized void record(Event event, Object... arguments) {
		long now = System.nanoTime();
		this.allowance = Math.min(BURST_LINES,
				this.allowance + LINES_PER_SECOND * (now - this.allowedAt) / TimeUnit.SECONDS.toNanos(1));
		this.allowedAt = now;
		boolean urgent = event.severity() != Event.Severity.INFORMATION;
		if (this.allowance < (urgent ? 0 : 1) || !this.ring.offer(line(event, arguments))) {
			this.dropped.incrementAndGet();
			return;
		}
		this.allowance--;
	}

	/**
	 * Returns the lines that were dropped.
	 * @return the lines that were dropped
	 */
	public long droppedLines() {
		return this.dropped.get();
	}

	@Override
	public void close() {
		this.closed = true;
		LockSupport.unpark(this.writer);
		try {
			this.writer.join(TimeUnit.SECONDS.toMillis(1));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void write() {
		long told = 0;
		StringBuilder text = new StringBuilder();
		boolean last = false;
		while (!last) {
			last = this.closed;
			this.ring.drain((line) -> text.append(line).append('\n'));
			long lost = this.dropped.get();
			if (lost != told) {
				text.append(line(Event.LOG_LINES_DROPPED, lost - told)).append('\n');
				told = lost;
			}
			if (!text.isEmpty()) {
				this.output.print(text);
				this.output.flush();
				text.setLength(0);
			}
			if (!last) {
				LockSupport.parkNanos(PAUSE_NANOS);
			}
		}
	}

	static String line(Event event, Object... arguments) {
		StringBuilder line = new StringBuilder(160).append("time_ms=")
			.append(System.currentTimeMillis())
			.append(" event=")
			.append(event.number())
			.append(" name=")
			.append(event.name())
			.append(' ');
		String pattern = event.pattern();
		int from = 0;
		for (Object argument : arguments) {
			int hole = pattern.indexOf("{}", from);
			if (hole < 0) {
				break;
			}
			line.append(pattern, from, hole).append(quoted(pattern, hole, String.valueOf(argument)));
			from = hole + 2;
		}
		return line.append(pattern, from, pattern.length()).toString();
	}

	private static String quoted(String pattern, int hole, String value) {
		if (hole > 0 && pattern.charAt(hole - 1) != '=') {
			return value;
		}
		boolean plain = !value.isEmpty()
				&& value.chars().allMatch((each) -> each > ' ' && each != '"' && each != '=' && each < 127);
		return plain ? value : '"' + value.replaceAll("[\\p{Cntrl}\"]", "'") + '"';
	}

}
