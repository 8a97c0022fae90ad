package io.masticlane.bench;

import java.util.List;

/**
 * A linear least-squares fit of measured points.
 *
 * @param intercept the fitted value at size zero
 * @param slope the increase per unit of size
 * @param determination the coefficient of determination, R squared: the fraction of the
 * variance that the fit explains
 */
record LeastSquares(double intercept, double slope, double determination) {

	static LeastSquares of(List<Point> points) {
		double meanX = points.stream().mapToDouble(Point::x).average().orElse(0);
		double meanY = points.stream().mapToDouble(Point::y).average().orElse(0);
		double xx = points.stream().mapToDouble((point) -> square(point.x() - meanX)).sum();
		double xy = points.stream().mapToDouble((point) -> (point.x() - meanX) * (point.y() - meanY)).sum();
		double yy = points.stream().mapToDouble((point) -> square(point.y() - meanY)).sum();
		double slope = xy / xx;
		double explained = (yy > 0) ? xy * slope / yy : 1;
		return new LeastSquares(meanY - slope * meanX, slope, explained);
	}

	private static double square(double value) {
		return value * value;
	}

	/**
	 * A measured point.
	 *
	 * @param x the size
	 * @param y the measured value
	 */
	record Point(double x, double y) {
	}

}
