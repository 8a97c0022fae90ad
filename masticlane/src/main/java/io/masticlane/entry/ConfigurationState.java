package io.masticlane.entry;

import java.util.function.BiConsumer;

import io.masticlane.configuration.ConfigurationException;
import io.masticlane.event.Event;
import io.masticlane.event.EventLog;
import io.masticlane.message.Message;
import io.masticlane.platform.ConfigurationEnvelope;
import io.masticlane.route.RoutingTable;

/**
 * The configuration in force: the highest revision heard, which never goes back. Used on
 * the decisions' thread; the routing table is published to all threads.
 */
final class ConfigurationState {

	private final EventLog events;

	private final BiConsumer<RoutingTable, Message.ConfigurationPush> inForce;

	private volatile RoutingTable table;

	private Message.ConfigurationPush push;

	private long rejected;

	ConfigurationState(EventLog events, BiConsumer<RoutingTable, Message.ConfigurationPush> inForce) {
		this.events = events;
		this.inForce = inForce;
	}

	RoutingTable table() {
		return this.table;
	}

	long revision() {
		RoutingTable current = this.table;
		return (current != null) ? current.revision() : 0;
	}

	Message.ConfigurationPush push() {
		return this.push;
	}

	void offer(long revision, byte[] envelope, String source) {
		if (revision <= revision() || revision <= this.rejected) {
			return;
		}
		try {
			RoutingTable next = RoutingTable.of(revision, ConfigurationEnvelope.decode(envelope).configuration());
			this.table = next;
			this.push = new Message.ConfigurationPush(revision, envelope);
			this.events.record(Event.CONFIGURATION_IN_FORCE, revision, source);
			this.inForce.accept(next, this.push);
		}
		catch (ConfigurationException ex) {
			this.rejected = revision;
			this.events.record(Event.CONFIGURATION_REJECTED, revision, source, ex.getMessage());
		}
	}

}
