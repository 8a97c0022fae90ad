package io.masticlane.benchmark;

import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import com.sun.management.ThreadMXBean;
import io.masticlane.client.ResponseDecoder;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.ReferenceCountUtil;

/**
 * Measures the time and the allocated memory for decoding a response, on one thread.
 */
public final class ResponseDecoderBenchmark {

	private static final int ROUNDS = 9;

	private static final int RESPONSES = 200_000;

	private static final byte[] RESPONSE = ("HTTP/1.1 200 OK\r\nDate: Sun, 06 Nov 1994 08:49:37 GMT\r\n"
			+ "Content-Type: application/json\r\nRequest-Id: 5f0c7f3e-12\r\nResponse-Signature: 3e1b\r\n"
			+ "Server-Load: 3,7,12\r\nCache-Control: no-store\r\nContent-Length: 17\r\n\r\n{\"served\":\"read\"}")
		.getBytes(StandardCharsets.US_ASCII);

	private final EmbeddedChannel channel = new EmbeddedChannel(new ResponseDecoder(false, () -> true, (data) -> {
	}));

	private ResponseDecoderBenchmark() {
	}

	/**
	 * Runs the benchmark and prints the results.
	 * @param arguments not used
	 */
	public static void main(String[] arguments) {
		ResponseDecoderBenchmark benchmark = new ResponseDecoderBenchmark();
		benchmark.decodeResponses();
		benchmark.decodeResponses();
		ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
		long[] nanos = new long[ROUNDS];
		long allocatedBefore = threads.getThreadAllocatedBytes(Thread.currentThread().getId());
		for (int round = 0; round < ROUNDS; round++) {
			long start = System.nanoTime();
			benchmark.decodeResponses();
			nanos[round] = (System.nanoTime() - start) / RESPONSES;
		}
		long allocated = threads.getThreadAllocatedBytes(Thread.currentThread().getId()) - allocatedBefore;
		Arrays.sort(nanos);
		System.out.printf("decoding a response: %d ns (%d to %d), %d bytes%n", nanos[ROUNDS / 2], nanos[0],
				nanos[ROUNDS - 1], allocated / ROUNDS / RESPONSES);
	}

	private void decodeResponses() {
		ByteBuf response = Unpooled.wrappedBuffer(RESPONSE);
		for (int each = 0; each < RESPONSES; each++) {
			this.channel.writeInbound(response.retainedDuplicate());
			Object message = this.channel.readInbound();
			while (message != null) {
				ReferenceCountUtil.release(message);
				message = this.channel.readInbound();
			}
		}
		response.release();
	}

}
