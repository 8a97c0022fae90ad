package io.masticlane.steering;

import java.util.HashSet;
import java.util.Set;

import io.masticlane.configuration.BackendServer;

/**
 * The state of a request between its arrival and its end; used on the decisions' thread
 * alone.
 */
public final class Flight {

	private final Arrival arrival;

	private final Set<String> tried = new HashSet<>();

	private BackendServer server;

	private boolean claimed;

	private boolean ended;

	Flight(Arrival arrival) {
		this.arrival = arrival;
	}

	Arrival arrival() {
		return this.arrival;
	}

	Set<String> tried() {
		return this.tried;
	}

	BackendServer server() {
		return this.server;
	}

	void assign(BackendServer server) {
		this.server = server;
		this.tried.add(server.name());
	}

	boolean claimed() {
		return this.claimed;
	}

	void claim() {
		this.claimed = true;
	}

	boolean ended() {
		return this.ended;
	}

	void end() {
		this.ended = true;
	}

}
