package io.masticlane.message;

import java.io.IOException;
import java.util.Arrays;
import java.util.Map;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

public class MessageFrameTests {

	private final Message.Heartbeat heartbeat = new Message.Heartbeat(7, 6, 42, 1_500, false, 3, 1, 700);

	@Test
	public void aDecodedMessageEqualsTheEncodedOne() throws IOException {
		assertEquals(MessageFrame.decode(MessageFrame.encode(this.heartbeat)), this.heartbeat);
	}

	@Test
	public void everyTruncationIsRefusedAsMalformed() {
		byte[] whole = MessageFrame.encode(this.heartbeat);
		for (int length = 0; length < whole.length; length++) {
			byte[] truncated = Arrays.copyOf(whole, length);
			expectThrows(MalformedMessageException.class, () -> MessageFrame.decode(truncated));
		}
	}

	@Test
	public void anUnknownTagIsRefusedAsMalformed() throws IOException {
		MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
		packer.packArrayHeader(1).packInt(999);
		expectThrows(MalformedMessageException.class, () -> MessageFrame.decode(packer.toByteArray()));
	}

	@Test
	public void fieldsAppendedByALaterSchemaAreSkipped() throws IOException {
		MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
		packer.packArrayHeader(3).packInt(3).packLong(5).packString("later");
		assertEquals(MessageFrame.decode(packer.toByteArray()), new Message.ConfigurationQuery(5));
	}

	@Test
	public void appendedFieldsThatAReportOfAnEarlierSchemaDoesNotHaveAreEmpty() throws IOException {
		MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
		packer.packArrayHeader(8)
			.packInt(13)
			.packLong(4)
			.packLong(7)
			.packString("")
			.packBoolean(false)
			.packBoolean(true);
		packer.packMapHeader(0).packMapHeader(0);
		assertEquals(MessageFrame.decode(packer.toByteArray()),
				new Message.GatewayReport(4, 7, "", false, true, Map.of(), Map.of(), Map.of()));
	}

}
