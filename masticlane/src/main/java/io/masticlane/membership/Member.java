package io.masticlane.membership;

import io.masticlane.message.Message;

/**
 * The state that an entry host last reported.
 *
 * @param host the name of the entry host
 * @param incarnation the identifier of its process
 * @param heartbeat the last heartbeat
 * @param receivedAt the time of the last heartbeat on the monotonic clock in nanoseconds
 */
public record Member(String host, String incarnation, Message.Heartbeat heartbeat, long receivedAt) {
}
