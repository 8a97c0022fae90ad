package io.masticlane.configuration;

/**
 * A service-level objective (SLO) of a service.
 *
 * @param service the service to which the objective applies
 * @param latencyMillis the maximum latency of a good response
 * @param goodRatio the fraction of requests that must be good (0..1, exclusive)
 * @param refusedRatio the fraction of requests within the rate limit that may be refused
 * (0..1, exclusive)
 */
public record Objective(String service, double latencyMillis, double goodRatio, double refusedRatio) {

	/**
	 * Creates a new service-level objective.
	 * @param service the service to which the objective applies
	 * @param latencyMillis the maximum latency of a good response
	 * @param goodRatio the fraction of requests that must be good (0..1, exclusive)
	 * @param refusedRatio the fraction of requests within the rate limit that may be
	 * refused (0..1, exclusive)
	 */
	public Objective {
		Check.name("objectives.service", service);
		Check.positive("objectives.latencyMillis", latencyMillis);
		if (!(goodRatio > 0 && goodRatio < 1)) {
			throw new ConfigurationException("objectives.goodRatio", goodRatio, "a number between 0 and 1");
		}
		if (!(refusedRatio > 0 && refusedRatio < 1)) {
			throw new ConfigurationException("objectives.refusedRatio", refusedRatio, "a number between 0 and 1");
		}
	}

}
