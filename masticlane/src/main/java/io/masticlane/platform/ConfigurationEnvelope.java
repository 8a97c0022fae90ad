package io.masticlane.platform;

import java.nio.charset.StandardCharsets;

import io.masticlane.configuration.Configuration;
import io.masticlane.configuration.ConfigurationDocument;
import io.masticlane.configuration.ConfigurationException;

/**
 * The value under which a configuration is stored and sent between entry hosts: one line
 * with the nonce of its write, then the printed document.
 *
 * @param nonce the identifier of the write, by which its writer knows it again
 * @param document the printed document in UTF-8
 */
public record ConfigurationEnvelope(String nonce, byte[] document) {

	/**
	 * The name of the key of the configuration, behind the store's prefix.
	 */
	public static final String KEY = "configuration";

	/**
	 * Returns the value to store.
	 * @return the value to store
	 */
	public byte[] encode() {
		byte[] head = (this.nonce + "\n").getBytes(StandardCharsets.UTF_8);
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
		return new ConfigurationEnvelope(new String(value, 0, end, StandardCharsets.UTF_8), document);
	}

	/**
	 * Reads and checks the document.
	 * @return the configuration
	 */
	public Configuration configuration() {
		return ConfigurationDocument.read(this.document);
	}

}
