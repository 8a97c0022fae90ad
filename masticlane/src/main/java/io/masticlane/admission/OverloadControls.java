package io.masticlane.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.DoubleSupplier;

/**
 * The overload controls of a gateway, one for each service and region that receives
 * requests from it. State and time are passed in; nothing is exchanged with other
 * gateways.
 */
public final class OverloadControls {

	private final Map<Scope, OverloadControl> controls = new HashMap<>();

	private final DoubleSupplier random;

	/**
	 * Creates controls without state, which admit all requests.
	 * @param random returns numbers from 0 to 1
	 */
	public OverloadControls(DoubleSupplier random) {
		this.random = random;
	}

	/**
	 * Decides about a request.
	 * @param scope the service and the region of the chosen server
	 * @param arrival the arrival of the request
	 * @return empty if the request is admitted, else the time in which the servers
	 * complete the excess work, in milliseconds
	 */
	public OptionalDouble rejection(Scope scope, Arrival arrival) {
		return this.controls.computeIfAbsent(scope, (each) -> new OverloadControl(this.random)).rejection(arrival);
	}

	/**
	 * Updates the levels, and forgets services and regions without demand.
	 * @param rooms tells what servers can take
	 * @param now the current time in nanoseconds
	 * @return the states of all services and regions
	 */
	public List<Update> update(RoomSource rooms, long now) {
		List<Update> updates = new ArrayList<>(this.controls.size());
		this.controls.forEach((scope, control) -> {
			boolean before = control.isOverloaded();
			control.update(rooms.room(scope.service(), scope.region(), now), now);
			updates.add(new Update(scope, control.state(), control.isOverloaded() != before));
		});
		this.controls.values().removeIf(OverloadControl::isIdle);
		return updates;
	}

	/**
	 * Forgets all state.
	 */
	public void clear() {
		this.controls.clear();
	}

	/**
	 * What a control is for.
	 *
	 * @param service the name of the service
	 * @param region the name of the region of its servers
	 */
	public record Scope(String service, String region) {
	}

	/**
	 * The state after an update.
	 *
	 * @param scope the service and region
	 * @param state the state
	 * @param changed whether the service started or ended being overloaded there
	 */
	public record Update(Scope scope, OverloadState state, boolean changed) {
	}

}
