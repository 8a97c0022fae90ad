package io.masticlane.placement;

import java.util.OptionalDouble;
import java.util.OptionalInt;

/**
 * The load that a server reports with a response. Each figure may be missing.
 *
 * @param running the requests that the server is processing
 * @param waiting the requests that wait for a slot
 * @param slots the slots of the server
 * @param slowness how long work takes at present on the server's machine; 100 is usual,
 * 200 takes twice as long
 */
public record ServerLoad(OptionalInt running, OptionalInt waiting, OptionalInt slots, OptionalDouble slowness) {

	/**
	 * A load without any figure.
	 */
	public static final ServerLoad UNKNOWN = new ServerLoad(OptionalInt.empty(), OptionalInt.empty(),
			OptionalInt.empty(), OptionalDouble.empty());

	/**
	 * The slowness of a machine at its usual speed.
	 */
	public static final double USUAL_SLOWNESS = 100;

	/**
	 * Returns the requests that the server is processing or has queued.
	 * @return the number of requests, or empty if it is unknown
	 */
	public OptionalInt requests() {
		return this.running.isPresent() ? OptionalInt.of(this.running.getAsInt() + this.waiting.orElse(0))
				: OptionalInt.empty();
	}

}
