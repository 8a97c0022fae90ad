package io.masticlane.placement;

/**
 * The bounds on the request rate of cold servers, of which each gateway of a region uses
 * an equal part.
 */
final class ColdBounds {

	/**
	 * The fraction of a cold server's request bound that is used, as there may be more
	 * gateways than this one knows of.
	 */
	private static final double COLD_BOUND_FRACTION = 0.8;

	private final String region;

	private double overshoot;

	private double slack;

	/**
	 * Creates bounds.
	 * @param region the region of the gateway
	 * @param overshoot the factor by which a cold server's rate may be exceeded
	 * @param slack the requests per second that a cold server may receive in addition
	 */
	ColdBounds(String region, double overshoot, double slack) {
		this.region = region;
		set(overshoot, slack);
	}

	/**
	 * Changes the bounds.
	 * @param newOvershoot the factor by which a cold server's rate may be exceeded
	 * @param newSlack the requests per second that a cold server may receive in addition
	 */
	void set(double newOvershoot, double newSlack) {
		this.overshoot = newOvershoot;
		this.slack = newSlack;
	}

	/**
	 * Returns whether a cold server may receive a request.
	 * @param server the server
	 * @param request the request
	 * @param now the current time in nanoseconds
	 * @return whether the server may receive it
	 */
	boolean hasColdCapacity(ServerState server, PlacementRequest request, long now) {
		return server.region().equals(this.region)
				&& server.possiblyColdRequestsInLastSecond(now) < allowance(request.coldRequestsPerSecond(),
						request.gatewaysInRegion());
	}

	/**
	 * Returns whether a server that may have become cold unnoticed may receive a request.
	 * @param server the server
	 * @param request the request
	 * @param now the current time in nanoseconds
	 * @return whether the server may receive it
	 */
	boolean hasPossiblyColdCapacity(ServerState server, PlacementRequest request, long now) {
		return server.possiblyColdRequestsInLastSecond(now) < possiblyColdAllowance(server,
				request.coldRequestsPerSecond(), request.gatewaysInRegion());
	}

	/**
	 * Returns whether a server that may have become cold unnoticed has received half of
	 * the requests that it may receive in a second, or more.
	 * @param server the server
	 * @param coldRequestsPerSecond the rate of requests that a cold server of the service
	 * can handle
	 * @param gatewaysInRegion the number of gateways in the region
	 * @param now the current time in nanoseconds
	 * @return whether the server is near its bound
	 */
	boolean isNear(ServerState server, double coldRequestsPerSecond, int gatewaysInRegion, long now) {
		int sent = server.possiblyColdRequestsInLastSecond(now);
		return sent > 0 && 2 * sent >= possiblyColdAllowance(server, coldRequestsPerSecond, gatewaysInRegion);
	}

	// The gateways of the server's own region divide the bound among them, so those of
	// other regions send one request at a time.
	private int possiblyColdAllowance(ServerState server, double coldRequestsPerSecond, int gatewaysInRegion) {
		return server.region().equals(this.region) ? Math.max(1, allowance(coldRequestsPerSecond, gatewaysInRegion))
				: 1;
	}

	private int allowance(double coldRequestsPerSecond, int gatewaysInRegion) {
		double bound = coldRequestsPerSecond * this.overshoot + this.slack;
		return (int) Math.min(RequestTimes.CAPACITY, bound * COLD_BOUND_FRACTION / gatewaysInRegion);
	}

}
