package io.masticlane.bench;

import java.util.List;

/**
 * The line that fits measured points best by the sum of squares.
 *
 * @param intercept the value at zero
 * @param slope the growth for each unit
 * @param determination the part of the variance that the line explains
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
