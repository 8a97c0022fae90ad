package io.masticlane.review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * Writes what was sent, answered and run, with the seconds since the start of the case.
 */
final class Record implements AutoCloseable {

	private final long startedAt = System.nanoTime();

	private final PrintWriter writer;

	Record(Path file) {
		try {
			this.writer = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	synchronized void line(String format, Object... arguments) {
		String text = String.format(Locale.ROOT, "%8.3f ", seconds()) + String.format(Locale.ROOT, format, arguments);
		this.writer.println(text);
		System.out.println(text);
	}

	double seconds() {
		return (System.nanoTime() - this.startedAt) / (double) TimeUnit.SECONDS.toNanos(1);
	}

	@Override
	public void close() {
		this.writer.close();
	}

}
