package io.masticlane.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;

import io.masticlane.message.MalformedMessageException;
import io.masticlane.message.Message;
import io.masticlane.message.MessageFrame;
import io.masticlane.peer.Peer;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes the reports of several hosts that travel together, in MessagePack:
 * for each report its origin, number and age, and the report itself.
 */
public final class ReportBundle {

	private static final Message.GatewayReport NOT_DECODED = null;

	private ReportBundle() {
	}

	/**
	 * Encodes reports.
	 * @param reports the reports
	 * @param now the current time in nanoseconds
	 * @return the bundle
	 */
	public static byte[] encode(Collection<ReceivedReport> reports, long now) {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			for (ReceivedReport each : reports) {
				byte[] report = MessageFrame.encode(each.report());
				packer.packString(each.origin().host())
					.packString(each.origin().incarnation())
					.packLong(each.sequence())
					.packLong(Math.max(0, now - each.receivedAt()))
					.packBinaryHeader(report.length)
					.writePayload(report);
			}
			return packer.toByteArray();
		}
		catch (IOException ex) {
			throw new IllegalStateException("unexpected I/O failure of a buffer packer", ex);
		}
	}

	/**
	 * Decodes the reports that are new to the receiver. Each report arrives from two
	 * relays; the body of the second copy is not decoded.
	 * @param bundle the bundle
	 * @param sender the name of the host that sent the bundle
	 * @param now the current time in nanoseconds
	 * @param isNew whether the receiver has no such report yet; the report has no body
	 * @return the new reports
	 * @throws MalformedMessageException if the bytes are no bundle
	 */
	public static List<ReceivedReport> decode(byte[] bundle, String sender, long now, Predicate<ReceivedReport> isNew)
			throws MalformedMessageException {
		List<ReceivedReport> reports = new ArrayList<>();
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bundle)) {
			while (unpacker.hasNext()) {
				Peer origin = new Peer(unpacker.unpackString(), unpacker.unpackString());
				ReceivedReport head = new ReceivedReport(origin, unpacker.unpackLong(), NOT_DECODED,
						now - Math.max(0, unpacker.unpackLong()), origin.host().equals(sender));
				byte[] payload = unpacker.readPayload(unpacker.unpackBinaryHeader());
				if (isNew.test(head) && MessageFrame.decode(payload) instanceof Message.GatewayReport report) {
					reports.add(new ReceivedReport(origin, head.sequence(), report, head.receivedAt(), head.direct()));
				}
			}
		}
		catch (IOException | MessagePackException ex) {
			throw new MalformedMessageException("bundle of reports: " + ex.getMessage());
		}
		return reports;
	}

}
