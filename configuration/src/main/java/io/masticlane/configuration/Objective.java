package io.masticlane.configuration;

/**
 * A service-level objective.
 *
 * @param service the service that is measured
 * @param latencyMillis the latency within which an answer is good
 * @param goodRatio the part of requests that must be good
 * @param refusedRatio the part of requests inside their rate that may be refused
 */
public record Objective(String service, double latencyMillis, double goodRatio, double refusedRatio) {

	/**
	 * Creates a new service-level objective.
	 * @param service the service that is measured
	 * @param latencyMillis the latency within which an answer is good
	 * @param goodRatio the part of requests that must be good
	 * @param refusedRatio the part of requests inside their rate that may be refused
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
