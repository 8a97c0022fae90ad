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
 * The value under which a configuration is stored and sent between entry hosts: one line
 * with the nonce of its write and those of the writes before it, then the printed
 * document.
 *
 * @param nonce the identifier of the write, by which its writer knows it again
 * @param predecessors the writes before it, the last one first
 * @param document the printed document in UTF-8
 */
public record ConfigurationEnvelope(String nonce, List<Predecessor> predecessors, byte[] document) {

	/**
	 * The name of the key of the configuration, behind the store's prefix.
	 */
	public static final String KEY = "configuration";

	/**
	 * The writes before it that an envelope names at most.
	 */
	static final int MAXIMUM_PREDECESSORS = 16;

	/**
	 * Creates a new envelope without predecessors.
	 * @param nonce the identifier of the write
	 * @param document the printed document in UTF-8
	 */
	public ConfigurationEnvelope(String nonce, byte[] document) {
		this(nonce, List.of(), document);
	}

	/**
	 * Returns this envelope as the successor of another one.
	 * @param revision the revision of the other one
	 * @param former the other one
	 * @return the changed envelope
	 */
	public ConfigurationEnvelope after(long revision, ConfigurationEnvelope former) {
		List<Predecessor> chain = Stream
			.concat(Stream.of(new Predecessor(revision, former.nonce)), former.predecessors.stream())
			.limit(MAXIMUM_PREDECESSORS)
			.toList();
		return new ConfigurationEnvelope(this.nonce, chain, this.document);
	}

	/**
	 * Finds the revision of an earlier write.
	 * @param writtenNonce the nonce of the write
	 * @return the revision, or nothing if this envelope does not name the write
	 */
	public OptionalLong revisionOf(String writtenNonce) {
		return this.predecessors.stream()
			.filter((each) -> each.nonce().equals(writtenNonce))
			.mapToLong(Predecessor::revision)
			.findFirst();
	}

	/**
	 * Tells whether this envelope names every write after a revision.
	 * @param revision the revision, or {@link Store#ABSENT}
	 * @return whether no write after the revision is missing
	 */
	public boolean namesAllAfter(long revision) {
		return (revision == Store.ABSENT) ? this.predecessors.size() < MAXIMUM_PREDECESSORS
				: this.predecessors.stream().anyMatch((each) -> each.revision() == revision);
	}

	/**
	 * Returns the value to store.
	 * @return the value to store
	 */
	public byte[] encode() {
		String chain = this.predecessors.stream()
			.map((each) -> " " + each.revision() + ":" + each.nonce())
			.collect(Collectors.joining());
		byte[] head = (this.nonce + chain + "\n").getBytes(StandardCharsets.UTF_8);
		byte[] value = new byte[head.length + this.document.length];
		System.arraycopy(head, 0, value, 0, head.length);
		System.arraycopy(this.document, 0, value, head.length, this.document.length);
		return value;
	}

	/**
	 * Reads a stored value.
	 * @param value the stored value
	 * @return the envelope
	 */
	public static ConfigurationEnvelope decode(byte[] value) {
		int end = 0;
		while (end < value.length && value[end] != '\n') {
			end++;
		}
		if (end == value.length) {
			throw new ConfigurationException("envelope", "no line end", "a nonce, a line end and a document");
		}
		byte[] document = new byte[value.length - end - 1];
		System.arraycopy(value, end + 1, document, 0, document.length);
		List<String> head = List.of(new String(value, 0, end, StandardCharsets.UTF_8).split(" "));
		return new ConfigurationEnvelope(head.get(0), head.stream().skip(1).map(Predecessor::parse).toList(), document);
	}

	/**
	 * Reads and checks the document.
	 * @return the configuration
	 */
	public Configuration configuration() {
		return ConfigurationDocument.read(this.document);
	}

	/**
	 * An earlier write.
	 *
	 * @param revision its revision
	 * @param nonce its nonce
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
