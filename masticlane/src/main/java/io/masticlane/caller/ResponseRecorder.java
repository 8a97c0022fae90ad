package io.masticlane.caller;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.masticlane.operation.RecordedResponse;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Records a copy of a response while it is forwarded.
 */
interface ResponseRecorder {

	/**
	 * Records the head of the response.
	 * @param head the head of the response
	 */
	void recordHead(HttpResponse head);

	/**
	 * Records a part of the response body.
	 * @param part the part of the body
	 */
	void recordContent(ByteBuf part);

	/**
	 * Returns the recorded response.
	 * @return the complete response, or empty if it was too large
	 */
	Optional<RecordedResponse> recordedResponse();

	/**
	 * Records responses up to the maximum size.
	 */
	final class Bounded implements ResponseRecorder {

		private final ByteArrayOutputStream body = new ByteArrayOutputStream();

		private int status;

		private List<Map.Entry<String, String>> headers = List.of();

		private boolean tooLarge;

		@Override
		public void recordHead(HttpResponse head) {
			this.status = head.status().code();
			this.headers = List.copyOf(head.headers().entries());
		}

		@Override
		public void recordContent(ByteBuf part) {
			this.tooLarge |= this.body.size() + part.readableBytes() > RecordedResponse.MAXIMUM_BODY_BYTES;
			if (!this.tooLarge) {
				this.body.writeBytes(ByteBufUtil.getBytes(part));
			}
		}

		@Override
		public Optional<RecordedResponse> recordedResponse() {
			return this.tooLarge ? Optional.empty()
					: Optional.of(new RecordedResponse(this.status, this.headers, this.body.toByteArray()));
		}

	}

	/**
	 * Records nothing.
	 */
	enum NoOp implements ResponseRecorder {

		/**
		 * The only instance.
		 */
		INSTANCE;

		@Override
		public void recordHead(HttpResponse head) {
		}

		@Override
		public void recordContent(ByteBuf part) {
		}

		@Override
		public Optional<RecordedResponse> recordedResponse() {
			return Optional.empty();
		}

	}

}
