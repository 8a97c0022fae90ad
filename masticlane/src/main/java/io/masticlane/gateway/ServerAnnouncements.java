package io.masticlane.gateway;

import io.masticlane.client.ConnectionPool;
import io.masticlane.event.Event;
import io.masticlane.event.EventLog;
import io.masticlane.placement.ServerState;

/**
 * Records what backend servers announce in their responses: that they leave, or that they
 * want no requests for a while.
 */
final class ServerAnnouncements {

	private final ConnectionPool connections;

	private final EventLog events;

	ServerAnnouncements(ConnectionPool connections, EventLog events) {
		this.connections = connections;
		this.events = events;
	}

	/**
	 * Records the announcements of a response.
	 * @param server the server
	 * @param response the values in the head of its response
	 * @param request the identifier of the request, for the log
	 * @param now the current time in nanoseconds
	 */
	void record(ServerState server, Dialect.ServerResponse response, String request, long now) {
		if (response.leaving() && server.recordLeaving(now)) {
			log(server, "leaving", 0, request);
			this.connections.closeIdle(server.entry().address());
		}
		if (response.pauseMillis() > 0 && server.recordPause(response.pauseMillis(), now)) {
			log(server, "pause", server.pauseMillis(now), request);
		}
	}

	private void log(ServerState server, String announcement, long millis, String request) {
		this.events.record(Event.SERVER_ANNOUNCED, server.entry().id(), server.entry().service(), announcement, millis,
				request);
	}

}
