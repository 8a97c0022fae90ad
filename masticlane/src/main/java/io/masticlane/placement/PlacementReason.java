package io.masticlane.placement;

/**
 * Why a region was chosen.
 */
public enum PlacementReason {

	/**
	 * The object is assigned to the gateway's region.
	 */
	OWN,

	/**
	 * The object is assigned to another region.
	 */
	ASSIGNED,

	/**
	 * The request may be served in certain regions only.
	 */
	BOUND,

	/**
	 * The region that the object is assigned to is overloaded.
	 */
	OVERFLOW,

	/**
	 * No server of the region that the object is assigned to may receive the request.
	 */
	NO_CANDIDATE

}
