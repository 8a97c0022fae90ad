package io.masticlane.event;

/**
 * The numbered events that the daemons log. The catalogue in docs/EVENTS.md describes
 * each of them.
 */
public enum Event {

	/**
	 * An entry host started.
	 */
	ENTRY_STARTED(1001, Severity.INFORMATION, "entry host {} started with incarnation {}"),

	/**
	 * An entry host began a planned stop.
	 */
	ENTRY_STOPPING(1002, Severity.INFORMATION, "entry host {} is stopping; requests in flight: {}"),

	/**
	 * An entry host stopped.
	 */
	ENTRY_STOPPED(1003, Severity.INFORMATION, "entry host {} stopped; requests in flight: {}"),

	/**
	 * A new configuration is in force.
	 */
	CONFIGURATION_IN_FORCE(2001, Severity.INFORMATION, "configuration revision {} is in force; received from {}"),

	/**
	 * A configuration document was rejected.
	 */
	CONFIGURATION_REJECTED(2002, Severity.WARNING, "configuration revision {} from {} was rejected: {}"),

	/**
	 * An entry host refuses keyed requests, because it can reach neither the store nor a
	 * majority of the entry hosts.
	 */
	KEYS_STALE(2003, Severity.WARNING,
			"refusing keyed requests: no contact with the store or with a majority of entry hosts within stale-millis"),

	/**
	 * An entry host serves keyed requests again.
	 */
	KEYS_FRESH(2004, Severity.INFORMATION, "serving keyed requests"),

	/**
	 * The store does not respond.
	 */
	STORE_LOST(3001, Severity.WARNING, "the store does not respond: {}"),

	/**
	 * The store responds again.
	 */
	STORE_HEARD(3002, Severity.INFORMATION, "the store responds again"),

	/**
	 * The store returned an older revision of the configuration than before.
	 */
	STORE_REVERTED(3003, Severity.ERROR,
			"the store returned configuration revision {}, which is older than the known revision {}"),

	/**
	 * The watch on the store did not report a write.
	 */
	STORE_WATCH_SILENT(3004, Severity.WARNING,
			"the watch on the store did not report revision {}; replacing the watch"),

	/**
	 * The first message of a peer was received after it started or after its connection
	 * was lost.
	 */
	PEER_HEARD(4001, Severity.INFORMATION, "received the first message from entry host {} with incarnation {}"),

	/**
	 * The connection to a peer was lost.
	 */
	PEER_LOST(4002, Severity.WARNING, "lost the connection to entry host {}: {}"),

	/**
	 * A peer sent a frame that could not be decoded.
	 */
	PEER_MALFORMED(4003, Severity.WARNING, "closed the connection to {} because of a malformed message: {}"),

	/**
	 * The shares of fleet-wide limits are in use.
	 */
	SHARES_BEGUN(5001, Severity.INFORMATION, "started to use the limit shares of entry hosts {}"),

	/**
	 * The shares of fleet-wide limits are no longer in use.
	 */
	SHARES_LOST(5002, Severity.WARNING, "stopped using the limit shares of entry hosts {}"),

	/**
	 * A gateway started.
	 */
	GATEWAY_STARTED(6001, Severity.INFORMATION, "host={} incarnation={} region={} data_centre={} callers={} store={}"),

	/**
	 * A gateway began a planned stop.
	 */
	GATEWAY_STOPPING(6002, Severity.INFORMATION, "host={} in_flight={}"),

	/**
	 * A gateway stopped.
	 */
	GATEWAY_STOPPED(6003, Severity.INFORMATION, "host={} in_flight={} after_ms={}"),

	/**
	 * The settings file was read again and accepted.
	 */
	SETTINGS_READ(6004, Severity.INFORMATION, "changed={} next_start={}"),

	/**
	 * Changed settings were rejected.
	 */
	SETTINGS_REJECTED(6005, Severity.WARNING, "file={} reason={}"),

	/**
	 * A new traffic plan is in force.
	 */
	PLAN_IN_FORCE(6101, Severity.INFORMATION, "version={} former={} source={}"),

	/**
	 * An entry of the store could not be parsed.
	 */
	DOCUMENT_REJECTED(6102, Severity.WARNING, "key={} reason={}"),

	/**
	 * The known state of a backend server changed.
	 */
	SERVER_CHANGED(6103, Severity.INFORMATION, "server={} service={} data_centre={} state={} cold_ms={} sequence={}"),

	/**
	 * A backend server was ejected because of its failures.
	 */
	SERVER_EJECTED(6104, Severity.WARNING, "server={} service={} reason={}"),

	/**
	 * The set of evacuated data centres changed.
	 */
	EVACUATION_CHANGED(6105, Severity.INFORMATION, "data_centres={} source={} position={}"),

	/**
	 * A gateway joined or left the fleet.
	 */
	MEMBER_CHANGED(6106, Severity.INFORMATION, "host={} state={} incarnation={} members={}"),

	/**
	 * The entry of this gateway in the store expired.
	 */
	REGISTRATION_LOST(6107, Severity.WARNING, "host={} lease={} reason={}"),

	/**
	 * A fraction of the requests of this gateway moved to another region within two
	 * windows.
	 */
	REGIONS_CHANGED(6108, Severity.INFORMATION,
			"moved_percent={} before={} after={} reasons={} refused={} own_shares={}"),

	/**
	 * A response of a backend server announced that it leaves or wants no requests for a
	 * while.
	 */
	SERVER_ANNOUNCED(6109, Severity.INFORMATION, "server={} service={} announcement={} for_ms={} request={}"),

	/**
	 * A health check showed that a backend server is cold, while the store does not
	 * respond.
	 */
	SERVER_FOUND_COLD(6110, Severity.INFORMATION, "server={} service={} cold_ms={} store_age_ms={}"),

	/**
	 * A connection to a backend server received data that no call awaited, and was
	 * closed.
	 */
	DATA_UNEXPECTED(6111, Severity.INFORMATION, "address={} connection={} calls={} data={}"),

	/**
	 * The relays of this host's reports changed.
	 */
	RELAYS_CHANGED(6112, Severity.INFORMATION, "reports={} relay={} relays={}"),

	/**
	 * The servers of a service and region became overloaded or are no longer.
	 */
	OVERLOAD_CHANGED(6114, Severity.INFORMATION, "service={} region={} state={} admitted={} room={} demand={}"),

	/**
	 * The entry hosts that look-ups name to callers of the own data centre changed, while
	 * they are selected by capacity.
	 */
	HOSTS_NAMED(6115, Severity.INFORMATION, "data_centre={} count={} hosts={} before={}"),

	/**
	 * All items of the store were read.
	 */
	STORE_READ(6116, Severity.INFORMATION, "reason={} position={} former={} items={} detail={}"),

	/**
	 * The store responded with a lower position than before.
	 */
	STORE_POSITION_REVERTED(6117, Severity.WARNING, "position={} former={}"),

	/**
	 * A request was refused and did not run.
	 */
	REQUEST_REFUSED(6201, Severity.INFORMATION,
			"request={} reason={} status={} route={} organisation={} age_ms={} expected_ms={} latest_ms={} return_ms={} plan={}"),

	/**
	 * An attempt at a backend server produced no response that can be forwarded.
	 */
	ATTEMPT_FAILED(6202, Severity.INFORMATION,
			"request={} server={} attempt={} failure={} age_ms={} connection={} calls={} repeated={} detail={}"),

	/**
	 * A request failed and may have run.
	 */
	REQUEST_FAILED(6203, Severity.WARNING,
			"request={} reason={} status={} route={} server={} attempts={} age_ms={} connection={} calls={} repeated={} plan={}"),

	/**
	 * A request was served.
	 */
	REQUEST_SERVED(6204, Severity.INFORMATION,
			"request={} status={} route={} server={} attempts={} age_ms={} expected_ms={} warm={} connection={} calls={} repeated={} plan={}"),

	/**
	 * The connection of a request's caller ended before the request did.
	 */
	REQUEST_ABANDONED(6205, Severity.INFORMATION, "request={} reason={} route={} server={} cancelled={} age_ms={}"),

	/**
	 * A request was refused because its organisation exceeded its rate.
	 */
	RATE_EXCEEDED(6206, Severity.INFORMATION,
			"request={} organisation={} route={} rate={} {} heard={} members={} return_ms={} plan={}"),

	/**
	 * The gateway ended the connection of a caller to which it had not written the whole
	 * response.
	 */
	RESPONSE_CUT(6207, Severity.WARNING, "request={} reason={} route={} age_ms={}"),

	/**
	 * The gateway ended a connection after a response, and the caller did not close it.
	 */
	RESPONSE_UNCONFIRMED(6208, Severity.INFORMATION, "request={} reason={} route={} age_ms={}"),

	/**
	 * Pipelined requests of a caller stay without a response, since the connection is
	 * closed after an earlier response.
	 */
	PIPELINED_REQUESTS_DROPPED(6209, Severity.INFORMATION,
			"caller={} reason={} cancelled={} not_started={} waiting_limit={}"),

	/**
	 * Downloads were refused since there was no memory for their responses.
	 */
	DOWNLOADS_REFUSED(6210, Severity.WARNING,
			"refused={} reserved_bytes={} used_bytes={} limit_bytes={} freed_bytes_per_s={}"),

	/**
	 * Log lines were dropped.
	 */
	LOG_LINES_DROPPED(6301, Severity.WARNING, "lines={}"),

	/**
	 * A duty failed to process a command and continues with the next.
	 */
	DUTY_FAILED(9001, Severity.ERROR, "duty {} failed to run a command: {}");

	private final int number;

	private final Severity severity;

	private final String pattern;

	Event(int number, Severity severity, String pattern) {
		this.number = number;
		this.severity = severity;
		this.pattern = pattern;
	}

	/**
	 * Returns the number of the event.
	 * @return the number of the event
	 */
	public int number() {
		return this.number;
	}

	/**
	 * Returns the severity of the event.
	 * @return the severity of the event
	 */
	public Severity severity() {
		return this.severity;
	}

	/**
	 * Returns the text of the event, with a placeholder for each argument.
	 * @return the text of the event
	 */
	public String pattern() {
		return this.pattern;
	}

	/**
	 * The importance of an event to operators.
	 */
	public enum Severity {

		/**
		 * The event is part of normal operation.
		 */
		INFORMATION,

		/**
		 * The event may need an operator's attention.
		 */
		WARNING,

		/**
		 * The event is a fault of the program.
		 */
		ERROR

	}

}
