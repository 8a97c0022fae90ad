package io.masticlane.peer;

/**
 * Identifies a process on an entry host.
 *
 * @param host the name of the entry host
 * @param incarnation the identifier of the process, unique to each start
 */
public record Peer(String host, String incarnation) {
}
