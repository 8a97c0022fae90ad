package io.masticlane.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.stream.IntStream;

import io.masticlane.message.Message;
import io.masticlane.message.MessageFrame;

/**
 * Measures the encoded size of each type of message, and the processor time to encode and
 * decode it.
 */
final class MessageSlopes {

	private static final String INCARNATION = "0b1f5c1e-7f4d-4d2c-9a51-3f2f6f1f9a10";

	private static final List<Message> MESSAGES = List.of(new Message.Greeting(1, "entry-2200", INCARNATION),
			new Message.Heartbeat(100_000, 99_999, 14_000, 250, false, 120, 100_000, 300),
			new Message.ConfigurationQuery(14_000),
			new Message.LoanRequest(1, "organisation/org-1", 42, 0, 55.5, 14.5, 7.25, 0, 2_000),
			new Message.LoanGrant(7, "organisation/org-1", 14_000, 5, 5, 5, 2_000),
			new Message.OperationClaim(7, "org-1", INCARNATION, -7_046_029_254_386_353_131L),
			new Message.OperationVerdict(7, "GRANTED", INCARNATION),
			new Message.OperationRelease(7, "org-1", INCARNATION), new Message.LeaseRelay(7, 7_587_852_347_501L),
			new Message.LeaseRelayed(7, true));

	private static final int[] MESSAGE_COUNTS = { 5_000, 10_000, 20_000, 40_000 };

	private static final int[] DOCUMENT_SIZES_BYTES = { 1_000, 10_000, 100_000, 1_000_000 };

	private static final double NANOS_PER_MICRO = 1e3;

	private final Slopes slopes;

	MessageSlopes(Slopes slopes) {
		this.slopes = slopes;
	}

	void print() {
		MESSAGES.forEach((message) -> {
			String name = message.getClass().getSimpleName();
			this.slopes.printValue(name + " frame", "bytes",
					MessageFrame.LENGTH_BYTES + MessageFrame.encode(message).length);
			this.slopes.measure(name + " encoded and decoded", "us per message", (count) -> micros(message, count),
					MESSAGE_COUNTS);
		});
		this.slopes.measure("ConfigurationPush encoded and decoded", "us per document byte",
				(bytes) -> micros(new Message.ConfigurationPush(14_000, new byte[bytes]), 100) / 100,
				DOCUMENT_SIZES_BYTES);
	}

	private static double micros(Message message, int count) {
		return Meter
			.processorNanos(() -> IntStream.range(0, count).forEach((number) -> decode(MessageFrame.encode(message))))
				/ NANOS_PER_MICRO;
	}

	private static Message decode(byte[] payload) {
		try {
			return MessageFrame.decode(payload);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
