package io.masticlane.store;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.masticlane.configuration.Configuration;
import io.masticlane.configuration.ConfigurationDocument;
import io.masticlane.configuration.ConfigurationException;

/**
 * The encoding in which a configuration is stored and sent between entry hosts: a line
 * with the nonce of the write and the revisions and nonces of the previous writes,
 * followed by the JSON document.
 *
 * @param nonce the identifier of the write, by which the writer recognises it
 * @param predecessors the previous writes, the most recent first
 * @param document the JSON document in UTF-8
 */
public record ConfigurationEnvelope(String nonce, List<Predecessor> predecessors, byte[] document) {

	/**
	 * The key of the configuration, without the prefix of the store.
	 */
	public static final String KEY = "configuration";

	/**
	 * The maximum number of previous writes in an envelope.
	 */
	static final int MAXIMUM_PREDECESSORS = 16;

	/**
	 * Creates a new envelope without predecessors.
	 * @param nonce the identifier of the write
	 * @param document the JSON document in UTF-8
	 */
	public ConfigurationEnvelope(String nonce, byte[] document) {
		this(nonce, List.of(), document);
	}

	/**
	 * Returns a copy of this envelope that succeeds another one.
	 * @param revision the revision of the previous envelope
	 * @param previous the previous envelope
	 * @return the copy, which contains the predecessors of the previous envelope up to
	 * the maximum
	 */
	public ConfigurationEnvelope withPredecessor(long revision, ConfigurationEnvelope previous) {
		List<Predecessor> chain = Stream
			.concat(Stream.of(new Predecessor(revision, previous.nonce)), previous.predecessors.stream())
			.limit(MAXIMUM_PREDECESSORS)
			.toList();
		return new ConfigurationEnvelope(this.nonce, chain, this.document);
	}

	/**
	 * Returns the revision of a previous write.
	 * @param writeNonce the nonce of the write
	 * @return the revision, or nothing if this envelope does not contain the write
	 */
	public OptionalLong revisionOf(String writeNonce) {
		return this.predecessors.stream()
			.filter((each) -> each.nonce().equals(writeNonce))
			.mapToLong(Predecessor::revision)
			.findFirst();
	}

	/**
	 * Returns whether the predecessors include every write after a revision.
	 * @param revision the revision, or {@link Store#ABSENT}
	 * @return whether no write after the revision is missing
	 */
	public boolean hasAllWritesAfter(long revision) {
		return (revision == Store.ABSENT) ? this.predecessors.size() < MAXIMUM_PREDECESSORS
				: this.predecessors.stream().anyMatch((each) -> each.revision() == revision);
	}

	/**
	 * Encodes this envelope.
	 * @return the value to store
	 */
	public byte[] encode() {
		String chain = this.predecessors.stream()
			.map((each) -> " " + each.revision() + ":" + each.nonce())
			.collect(Collectors.joining());
		byte[] header = (this.nonce + chain + "\n").getBytes(StandardCharsets.UTF_8);
		byte[] value = new byte[header.length + this.document.length];
		System.arraycopy(header, 0, value, 0, header.length);
		System.arraycopy(this.document, 0, value, header.length, this.document.length);
		return value;
	}

	/**
	 * Decodes a stored value.
	 * @param value the stored value
	 * @return the envelope
	 */
	public static ConfigurationEnvelope decode(byte[] value) {
		int end = 0;
		while (end < value.length && value[end] != '\n') {
			end++;
		}
		if (end == value.length) {
			throw new ConfigurationException("envelope", "no line feed", "a nonce, a line feed and a document");
		}
		byte[] document = new byte[value.length - end - 1];
		System.arraycopy(value, end + 1, document, 0, document.length);
		List<String> header = List.of(new String(value, 0, end, StandardCharsets.UTF_8).split(" "));
		return new ConfigurationEnvelope(header.get(0), header.stream().skip(1).map(Predecessor::parse).toList(),
				document);
	}

	/**
	 * Parses and validates the document.
	 * @return the configuration
	 */
	public Configuration configuration() {
		return ConfigurationDocument.read(this.document);
	}

	/**
	 * A previous write.
	 *
	 * @param revision the revision of the write
	 * @param nonce the nonce of the write
	 */
	public record Predecessor(long revision, String nonce) {

		private static Predecessor parse(String text) {
			int colon = text.indexOf(':');
			if (colon <= 0 || !text.substring(0, colon).matches("[0-9]{1,18}")) {
				throw new ConfigurationException("envelope", text, "a revision, a colon and a nonce");
			}
			return new Predecessor(Long.parseLong(text.substring(0, colon)), text.substring(colon + 1));
		}

	}

}
