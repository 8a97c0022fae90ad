package io.masticlane.entry;

import java.util.Arrays;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

import io.masticlane.event.Event;
import io.masticlane.event.EventLog;
import io.masticlane.message.Message;
import io.masticlane.route.RoutingTable;
import io.masticlane.store.ConfigurationEnvelope;

/**
 * The configuration in force: the highest revision heard, which never goes back. Used on
 * the decisions' thread; documents are read on another one, and the routing table is
 * published to all threads.
 */
final class ConfigurationState {

	private final EventLog events;

	private final Predicate<Runnable> reading;

	private final Predicate<Runnable> decisions;

	private final BiConsumer<RoutingTable, Message.ConfigurationPush> inForce;

	private volatile RoutingTable table;

	private volatile long pending;

	private volatile Message.ConfigurationPush rejected = new Message.ConfigurationPush(0, new byte[0]);

	private Message.ConfigurationPush push;

	/**
	 * Creates a new state without a configuration.
	 * @param events the log of events
	 * @param reading offers a command to the thread that reads documents
	 * @param decisions offers a command to the decisions' thread
	 * @param inForce receives each configuration that comes into force
	 */
	ConfigurationState(EventLog events, Predicate<Runnable> reading, Predicate<Runnable> decisions,
			BiConsumer<RoutingTable, Message.ConfigurationPush> inForce) {
		this.events = events;
		this.reading = reading;
		this.decisions = decisions;
		this.inForce = inForce;
	}

	RoutingTable table() {
		return this.table;
	}

	long revision() {
		RoutingTable current = this.table;
		return (current != null) ? current.revision() : 0;
	}

	/**
	 * Returns the revision that need not be read again.
	 * @return the highest revision that is in force or was rejected
	 */
	long settled() {
		return Math.max(revision(), this.rejected.revision());
	}

	/**
	 * Tells whether a revision is worth asking a peer for.
	 * @param announced the revision that the peer has in force
	 * @return whether the revision is higher than the one in force and was not rejected
	 */
	boolean wants(long announced) {
		return announced > revision() && announced != this.rejected.revision();
	}

	Message.ConfigurationPush push() {
		return this.push;
	}

	/**
	 * Offers a document, which counts if its revision is higher than the one in force and
	 * it is acceptable.
	 * @param revision the revision of the document in the store
	 * @param envelope the document in its envelope
	 * @param source where it was heard
	 */
	void offer(long revision, byte[] envelope, String source) {
		if (revision <= revision() || revision == this.pending || wasRejected(revision, envelope)) {
			return;
		}
		this.pending = revision;
		if (!this.reading.test(() -> read(revision, envelope, source))) {
			this.pending = 0;
		}
	}

	private boolean wasRejected(long revision, byte[] envelope) {
		return this.rejected.revision() == revision && Arrays.equals(this.rejected.document(), envelope);
	}

	private void read(long revision, byte[] envelope, String source) {
		Message.ConfigurationPush offered = new Message.ConfigurationPush(revision, envelope);
		try {
			RoutingTable next = RoutingTable.of(revision, ConfigurationEnvelope.decode(envelope).configuration());
			if (!this.decisions.test(() -> enforce(next, offered, source))) {
				this.pending = 0;
			}
		}
		catch (RuntimeException ex) {
			this.rejected = offered;
			this.pending = 0;
			this.events.record(Event.CONFIGURATION_REJECTED, revision, source, ex.getMessage());
		}
	}

	private void enforce(RoutingTable next, Message.ConfigurationPush offered, String source) {
		this.pending = 0;
		if (next.revision() <= revision()) {
			return;
		}
		this.table = next;
		this.push = offered;
		this.events.record(Event.CONFIGURATION_IN_FORCE, next.revision(), source);
		this.inForce.accept(next, offered);
	}

}
