package io.masticlane.client;

import org.agrona.collections.IntHashSet;

/**
 * The identifiers of the calls that a connection has carried. Only their hashes are kept,
 * so that an identifier may count as sent because of another one, but never as not sent.
 */
final class SentIdentifiers {

	private final IntHashSet hashes = new IntHashSet();

	boolean contains(String identifier) {
		return this.hashes.contains(identifier.hashCode());
	}

	void add(String identifier) {
		this.hashes.add(identifier.hashCode());
	}

}
