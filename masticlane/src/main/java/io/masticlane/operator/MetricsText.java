package io.masticlane.operator;

import java.io.ByteArrayOutputStream;
import java.io.IOException;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * Renders metrics in the Prometheus text format.
 */
public final class MetricsText {

	private MetricsText() {
	}

	/**
	 * Renders all metrics of a registry.
	 * @param registry the registry
	 * @return the metrics as UTF-8 text
	 */
	public static byte[] render(PrometheusRegistry registry) {
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		try {
			new PrometheusTextFormatWriter(true).write(output, registry.scrape());
		}
		catch (IOException ex) {
			throw new IllegalStateException("writing metrics to memory failed", ex);
		}
		return output.toByteArray();
	}

}
