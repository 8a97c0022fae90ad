package io.masticlane.client;

import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValidationUtil;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;

/**
 * Decodes the responses on one connection, and determines for all recipients which of
 * them violate the protocol: such a response is passed on with a failed
 * {@link HttpResponse#decoderResult()}, after which the connection must be closed. All
 * responses are framed alike, whichever request they are to, so that a response too many
 * does not change the framing of those after it.
 */
public final class ResponseDecoder extends HttpResponseDecoder {

	private static final int MAXIMUM_LINE_BYTES = 8 * 1024;

	private static final int MAXIMUM_HEAD_BYTES = 64 * 1024;

	private static final int MAXIMUM_CHUNK_BYTES = 16 * 1024;

	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}");

	/**
	 * The protocol of all versions that are framed alike, without the minor version.
	 */
	private static final String PROTOCOL = "HTTP/1.";

	private static final char MAXIMUM_STATUS_CLASS = '5';

	/**
	 * The result of {@link HttpHeaderValidationUtil} for a text without illegal
	 * characters.
	 */
	private static final int VALID = -1;

	private final boolean withoutBody;

	private final BooleanSupplier expecting;

	private final Consumer<String> unexpectedDataListener;

	/**
	 * Whether the connection failed, after which the codec reports the end of its input
	 * like one that the other end sent.
	 */
	private boolean connectionFailed;

	private boolean inputEnded;

	/**
	 * The end of the last word that was split off the status line.
	 */
	private int wordEnd;

	/**
	 * Creates a decoder.
	 * @param withoutBody whether no response has a body, since all requests on the
	 * connection are HEAD requests
	 * @param expecting whether a call waits for a response
	 * @param unexpectedDataListener notified with a description of data that is received
	 * while no call waits
	 */
	public ResponseDecoder(boolean withoutBody, BooleanSupplier expecting, Consumer<String> unexpectedDataListener) {
		super(MAXIMUM_LINE_BYTES, MAXIMUM_HEAD_BYTES, MAXIMUM_CHUNK_BYTES);
		this.withoutBody = withoutBody;
		this.expecting = expecting;
		this.unexpectedDataListener = unexpectedDataListener;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
		if (this.expecting.getAsBoolean()) {
			super.channelRead(context, message);
			return;
		}
		this.unexpectedDataListener.accept(((ByteBuf) message).readableBytes() + " bytes");
		ReferenceCountUtil.release(message);
	}

	/**
	 * Returns whether data was received behind the message that is being handled.
	 * @return whether there is such data
	 */
	public boolean hasUndecodedData() {
		return actualReadableBytes() > 0;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		// The end of the input is reported as such, not just as the end of the
		// connection.
		context.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) throws Exception {
		this.connectionFailed = true;
		super.exceptionCaught(context, cause);
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
		this.inputEnded |= event instanceof ChannelInputShutdownEvent && !this.connectionFailed;
		super.userEventTriggered(context, event);
		if (event instanceof ChannelInputShutdownEvent) {
			context.close();
		}
	}

	/**
	 * Ends a body without a length only where the other end has ended it. A connection
	 * that is closed on this side or fails, by a write for instance, loses the rest.
	 */
	@Override
	protected void decodeLast(ChannelHandlerContext context, ByteBuf data, List<Object> messages) throws Exception {
		if (this.inputEnded) {
			super.decodeLast(context, data, messages);
		}
	}

	@Override
	protected String splitFirstWordInitialLine(byte[] line, int start, int length) {
		String version = super.splitFirstWordInitialLine(line, start, length);
		require(version.length() == PROTOCOL.length() + 1 && version.startsWith(PROTOCOL)
				&& isDigit(version.charAt(PROTOCOL.length())), "an unknown protocol version");
		this.wordEnd = start + length;
		return version;
	}

	@Override
	protected String splitSecondWordInitialLine(byte[] line, int start, int length) {
		requireBlanks(line, start);
		String status = super.splitSecondWordInitialLine(line, start, length);
		require(status.length() == 3 && status.charAt(0) >= '1' && status.charAt(0) <= MAXIMUM_STATUS_CLASS
				&& isDigit(status.charAt(1)) && isDigit(status.charAt(2)), "an unknown status");
		this.wordEnd = start + length;
		return status;
	}

	@Override
	protected String splitThirdWordInitialLine(byte[] line, int start, int length) {
		requireBlanks(line, start);
		String reason = super.splitThirdWordInitialLine(line, start, length);
		// A reason phrase consists of the same characters as a header value.
		require(HttpHeaderValidationUtil.validateValidHeaderValue(reason) == VALID,
				"an illegal character in the reason phrase");
		return reason;
	}

	/**
	 * Requires that only spaces and tabs precede a word of the status line. The codec
	 * allows some control characters as well.
	 * @param line the line
	 * @param start the start of the word
	 */
	private void requireBlanks(byte[] line, int start) {
		for (int index = this.wordEnd; index < start; index++) {
			require(line[index] == ' ' || line[index] == '\t', "a control character in the status line");
		}
	}

	@Override
	protected AsciiString splitHeaderName(byte[] line, int start, int length) {
		AsciiString name = super.splitHeaderName(line, start, length);
		// The codec ends a name at a blank as well, and skips the rest up to the colon.
		require(!name.isEmpty() && line[start + length] == ':' && HttpHeaderValidationUtil.validateToken(name) == VALID,
				"a malformed name of a header");
		return name;
	}

	private static boolean isDigit(char character) {
		return character >= '0' && character <= '9';
	}

	private static void require(boolean condition, String problem) {
		if (!condition) {
			throw new CorruptedFrameException(problem);
		}
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf data, List<Object> messages) throws Exception {
		int decoded = messages.size();
		super.decode(context, data, messages);
		messages.stream()
			.skip(decoded)
			.filter(HttpResponse.class::isInstance)
			.map(HttpResponse.class::cast)
			.forEach(ResponseDecoder::verify);
	}

	/**
	 * Marks a head as malformed that is not that of one response to one request.
	 * @param head the head of a response
	 */
	private static void verify(HttpResponse head) {
		if (containsStatusLine(head)) {
			// The beginning of another response was received before this one.
			head.setDecoderResult(DecoderResult.failure(new CorruptedFrameException("a status line within a head")));
		}
		else if (head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
			// No request asks for it, and nothing behind it is decoded.
			head.setDecoderResult(DecoderResult.failure(new CorruptedFrameException("a change of the protocol")));
		}
	}

	private static boolean containsStatusLine(HttpResponse head) {
		return Stream
			.concat(Stream.of(head.status().reasonPhrase()), head.headers().entries().stream().map(Map.Entry::getValue))
			.anyMatch((text) -> STATUS_LINE.matcher(text).find());
	}

	/**
	 * Requires that a body is at most chunked. Callers would get any other coding as it
	 * is, without the header that names it.
	 * @param headers the headers of a response
	 */
	private static void requireKnownTransferCodings(HttpHeaders headers) {
		List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING)
			.stream()
			.flatMap((value) -> Stream.of(value.split(",")))
			.map(String::trim)
			.filter((coding) -> !coding.isEmpty())
			.toList();
		require(codings.isEmpty()
				|| codings.size() == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0)),
				"an unknown transfer coding");
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		// Afterwards the codec removes the codings of a message without a body.
		if (message.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
			requireKnownTransferCodings(message.headers());
		}
		return this.withoutBody || super.isContentAlwaysEmpty(message);
	}

}
