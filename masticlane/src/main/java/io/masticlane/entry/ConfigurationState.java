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
 * The configuration in force: the highest valid revision received, which never decreases.
 * Used on the decisions thread; documents are parsed on another thread, and the routing
 * table is published to all threads.
 */
final class ConfigurationState {

	private final EventLog events;

	private final Predicate<Runnable> parserQueue;

	private final Predicate<Runnable> decisionQueue;

	private final BiConsumer<RoutingTable, Message.ConfigurationPush> inForceListener;

	private volatile RoutingTable table;

	private volatile long pendingRevision;

	private volatile Message.ConfigurationPush rejected = new Message.ConfigurationPush(0, new byte[0]);

	private Message.ConfigurationPush push;

	/**
	 * Creates a new state without a configuration.
	 * @param events the log of events
	 * @param parserQueue submits a task to the thread that parses documents
	 * @param decisionQueue submits a task to the decisions thread
	 * @param inForceListener receives each configuration that comes into force
	 */
	ConfigurationState(EventLog events, Predicate<Runnable> parserQueue, Predicate<Runnable> decisionQueue,
			BiConsumer<RoutingTable, Message.ConfigurationPush> inForceListener) {
		this.events = events;
		this.parserQueue = parserQueue;
		this.decisionQueue = decisionQueue;
		this.inForceListener = inForceListener;
	}

	RoutingTable table() {
		return this.table;
	}

	long revision() {
		RoutingTable current = this.table;
		return (current != null) ? current.revision() : 0;
	}

	/**
	 * Returns the highest revision that need not be read from the store again.
	 * @return the highest revision that is in force or was rejected
	 */
	long processedRevision() {
		return Math.max(revision(), this.rejected.revision());
	}

	/**
	 * Checks whether to ask a peer for its revision.
	 * @param announced the revision that the peer has in force
	 * @return whether the revision is higher than the one in force and was not rejected
	 */
	boolean shouldFetch(long announced) {
		return announced > revision() && announced != this.rejected.revision();
	}

	Message.ConfigurationPush push() {
		return this.push;
	}

	/**
	 * Offers a document, which comes into force if its revision is higher than the
	 * current one and it is valid.
	 * @param revision the revision of the document in the store
	 * @param envelope the document in its envelope
	 * @param source where the document was received from
	 */
	void offer(long revision, byte[] envelope, String source) {
		if (revision <= revision() || revision == this.pendingRevision || isRejected(revision, envelope)) {
			return;
		}
		this.pendingRevision = revision;
		if (!this.parserQueue.test(() -> parse(revision, envelope, source))) {
			this.pendingRevision = 0;
		}
	}

	private boolean isRejected(long revision, byte[] envelope) {
		return this.rejected.revision() == revision && Arrays.equals(this.rejected.document(), envelope);
	}

	private void parse(long revision, byte[] envelope, String source) {
		Message.ConfigurationPush offered = new Message.ConfigurationPush(revision, envelope);
		try {
			RoutingTable next = RoutingTable.of(revision, ConfigurationEnvelope.decode(envelope).configuration());
			if (!this.decisionQueue.test(() -> putInForce(next, offered, source))) {
				this.pendingRevision = 0;
			}
		}
		catch (RuntimeException ex) {
			this.rejected = offered;
			this.pendingRevision = 0;
			this.events.record(Event.CONFIGURATION_REJECTED, revision, source, ex.getMessage());
		}
	}

	private void putInForce(RoutingTable next, Message.ConfigurationPush offered, String source) {
		this.pendingRevision = 0;
		if (next.revision() <= revision()) {
			return;
		}
		this.table = next;
		this.push = offered;
		this.events.record(Event.CONFIGURATION_IN_FORCE, next.revision(), source);
		this.inForceListener.accept(next, offered);
	}

}
