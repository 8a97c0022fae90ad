package io.masticlane.bench;

import java.io.PrintStream;
import java.util.List;
import java.util.function.IntToDoubleFunction;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Measures the cost of state and messages at several sizes, and prints for each quantity
 * a linear fit.
 */
public final class Slopes {

	private final PrintStream output;

	/**
	 * Creates a new benchmark.
	 * @param output the stream for the results
	 */
	public Slopes(PrintStream output) {
		this.output = output;
	}

	/**
	 * Measures all quantities and prints them as a table.
	 * @return {@code true}
	 */
	public boolean print() {
		this.output.println("| quantity | unit | sizes | measured | slope | at zero | R2 |");
		this.output.println("|---|---|---|---|---|---|---|");
		new MessageSlopes(this).print();
		new ClientBlockSlopes(this).print();
		new ConfigurationSlopes(this).print();
		new DirectorySlopes(this).print();
		new PeerSlopes(this).print();
		return true;
	}

	/**
	 * Measures a quantity at each size and prints the values with their linear fit.
	 * @param quantity the quantity
	 * @param unit the unit of the slope
	 * @param measurement measures the quantity at a size
	 * @param sizes the sizes
	 */
	void measure(String quantity, String unit, IntToDoubleFunction measurement, int... sizes) {
		List<LeastSquares.Point> points = IntStream.of(sizes)
			.mapToObj((size) -> new LeastSquares.Point(size, measurement.applyAsDouble(size)))
			.toList();
		LeastSquares fit = LeastSquares.of(points);
		String measuredSizes = IntStream.of(sizes).mapToObj(Integer::toString).collect(Collectors.joining(", "));
		String measured = points.stream().map((point) -> format(point.y())).collect(Collectors.joining(", "));
		this.output.printf("| %s | %s | %s | %s | %s | %s | %.3f |%n", quantity, unit, measuredSizes, measured,
				format(fit.slope()), format(fit.intercept()), fit.determination());
	}

	/**
	 * Prints a quantity that was measured at a single size.
	 * @param quantity the quantity
	 * @param unit the unit of the value
	 * @param value the measured value
	 */
	void printValue(String quantity, String unit, double value) {
		this.output.printf("| %s | %s | | %s | | | |%n", quantity, unit, format(value));
	}

	private static String format(double value) {
		return (Math.abs(value) >= 100) ? String.format("%.0f", value) : String.format("%.3g", value);
	}

}
