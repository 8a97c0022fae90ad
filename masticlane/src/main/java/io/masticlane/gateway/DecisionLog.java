package io.masticlane.gateway;

import java.io.PrintStream;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

import io.masticlane.event.Event;
import io.masticlane.event.EventLog;
import org.agrona.concurrent.ManyToOneConcurrentArrayQueue;

/**
 * Writes events as lines of key=value pairs on a dedicated thread. Lines are dropped and
 * counted when the queue is full or the rate limit is exceeded, so that a request never
 * waits for the output.
 */
public final class DecisionLog implements EventLog, AutoCloseable {

	/**
	 * The capacity of the queue to the writer, more than ten seconds of lines at the rate
	 * limit.
	 */
	private static final int QUEUE_CAPACITY = 1024;

	/**
	 * The sustained rate limit, which admits all failures of an ordinary day and costs
	 * about 1% of a core.
	 */
	private static final double MAXIMUM_LINES_PER_SECOND = 60;

	/**
	 * The number of lines that may exceed the sustained rate at once.
	 */
	private static final double MAXIMUM_BURST_LINES = 400;

	/**
	 * The pause between writes, so that several lines share one wake-up of the thread.
	 */
	private static final long WRITE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

	private final ManyToOneConcurrentArrayQueue<String> queue = new ManyToOneConcurrentArrayQueue<>(QUEUE_CAPACITY);

	private final AtomicLong dropped = new AtomicLong();

	private final PrintStream output;

	private final Thread writer;

	private double tokens = MAXIMUM_BURST_LINES;

	private long refilledAt = System.nanoTime();

	private volatile boolean closed;

	/**
	 * Creates a log and starts its writer thread.
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
		this.tokens = Math.min(MAXIMUM_BURST_LINES,
				this.tokens + MAXIMUM_LINES_PER_SECOND * (now - this.refilledAt) / TimeUnit.SECONDS.toNanos(1));
		this.refilledAt = now;
		boolean urgent = event.severity() != Event.Severity.INFORMATION;
		if (this.tokens < (urgent ? 0 : 1) || !this.queue.offer(line(event, arguments))) {
			this.dropped.incrementAndGet();
			return;
		}
		this.tokens--;
	}

	/**
	 * Returns the number of dropped lines.
	 * @return the number of dropped lines
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
		long reportedDrops = 0;
		StringBuilder text = new StringBuilder();
		boolean closing = false;
		while (!closing) {
			closing = this.closed;
			this.queue.drain((line) -> text.append(line).append('\n'));
			long drops = this.dropped.get();
			if (drops != reportedDrops) {
				text.append(line(Event.LOG_LINES_DROPPED, drops - reportedDrops)).append('\n');
				reportedDrops = drops;
			}
			if (!text.isEmpty()) {
				this.output.print(text);
				this.output.flush();
				text.setLength(0);
			}
			if (!closing) {
				LockSupport.parkNanos(WRITE_INTERVAL_NANOS);
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
			int placeholder = pattern.indexOf("{}", from);
			if (placeholder < 0) {
				break;
			}
			line.append(pattern, from, placeholder).append(quote(pattern, placeholder, String.valueOf(argument)));
			from = placeholder + 2;
		}
		return line.append(pattern, from, pattern.length()).toString();
	}

	private static String quote(String pattern, int placeholder, String value) {
		if (placeholder > 0 && pattern.charAt(placeholder - 1) != '=') {
			return value;
		}
		boolean unquoted = !value.isEmpty()
				&& value.chars().allMatch((each) -> each > ' ' && each != '"' && each != '=' && each < 127);
		return unquoted ? value : '"' + value.replaceAll("[\\p{Cntrl}\"]", "'") + '"';
	}

}
