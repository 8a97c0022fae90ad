package io.masticlane.operator;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * The Prometheus metrics of an entry daemon.
 */
public final class Metrics {

	private static final double NANOS_PER_SECOND = 1e9;

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final BurnRecorder burn = new BurnRecorder(System::currentTimeMillis);

	private final Counter lookUps = Counter.builder()
		.name("masticlane_look_ups_total")
		.help("Look-ups answered.")
		.register(this.registry);

	private final Counter requests = Counter.builder()
		.name("masticlane_requests_total")
		.help("Requests by service, organisation and result.")
		.labelNames("service", "organisation", "result")
		.register(this.registry);

	private final Histogram latency = Histogram.builder()
		.name("masticlane_request_seconds")
		.help("Time from a request's arrival to its answer's end.")
		.classicOnly()
		.classicUpperBounds(0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.4, 1, 2, 5, 10)
		.labelNames("service", "organisation")
		.register(this.registry);

	private final Gauge revision = Gauge.builder()
		.name("masticlane_configuration_revision")
		.help("The configuration revision in force.")
		.register(this.registry);

	/**
	 * Counts a look-up.
	 */
	public void recordLookUp() {
		this.lookUps.inc();
	}

	/**
	 * Records a request that ended.
	 * @param service the name of the service, or an empty string
	 * @param organisation the name of the organisation, or an empty string
	 * @param result the result: answered, abandoned, cut, or an error kind
	 * @param nanos the time in nanoseconds from the arrival to the end of the request
	 */
	public void recordRequest(String service, String organisation, String result, long nanos) {
		this.requests.labelValues(service, organisation, result).inc();
		this.burn.recordRequest(service, organisation, result, nanos);
		if (result.equals("answered")) {
			this.latency.labelValues(service, organisation).observe(nanos / NANOS_PER_SECOND);
		}
	}

	/**
	 * Sets the configuration revision in force.
	 * @param revision the configuration revision in force
	 */
	public void setRevision(long revision) {
		this.revision.set(revision);
	}

	/**
	 * Returns the recorder of the requests that count towards objectives.
	 * @return the recorder
	 */
	public BurnRecorder burn() {
		return this.burn;
	}

	/**
	 * Returns the registry, to which other packages add their metrics.
	 * @return the registry
	 */
	public PrometheusRegistry registry() {
		return this.registry;
	}

	/**
	 * Renders all metrics in the Prometheus text format.
	 * @return the metrics as UTF-8 text
	 */
	public byte[] render() {
		return MetricsText.render(this.registry);
	}

}
