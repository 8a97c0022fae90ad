package io.masticlane.bench;

import java.io.PrintStream;
import java.util.List;
import java.util.function.IntToDoubleFunction;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Measures what state and messages cost at several sizes, and prints the line that fits.
 */
public final class Slopes {

	private final PrintStream output;

	/**
	 * Creates new slopes.
	 * @param output the stream for the results
	 */
	public Slopes(PrintStream output) {
		this.output = output;
	}

	/**
	 * Measures and prints every slope.
	 * @return whether all were measured
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
	 * Measures one quantity at each size and prints its line.
	 * @param quantity the quantity
	 * @param unit the unit of the slope
	 * @param measurement measures the quantity at a size
	 * @param sizes the sizes
	 */
	void line(String quantity, String unit, IntToDoubleFunction measurement, int... sizes) {
		List<LeastSquares.Point> points = IntStream.of(sizes)
			.mapToObj((size) -> new LeastSquares.Point(size, measurement.applyAsDouble(size)))
			.toList();
		LeastSquares fit = LeastSquares.of(points);
		String at = IntStream.of(sizes).mapToObj(Integer::toString).collect(Collectors.joining(", "));
		String measured = points.stream().map((point) -> text(point.y())).collect(Collectors.joining(", "));
		this.output.printf("| %s | %s | %s | %s | %s | %s | %.3f |%n", quantity, unit, at, measured, text(fit.slope()),
				text(fit.intercept()), fit.determination());
	}

	/**
	 * Prints a figure that was measured at one size alone.
	 * @param quantity the quantity
	 * @param unit the unit of the figure
	 * @param value the figure
	 */
	void figure(String quantity, String unit, double value) {
		this.output.printf("| %s | %s | | %s | | | |%n", quantity, unit, text(value));
	}

	private static String text(double value) {
		return (Math.abs(value) >= 100) ? String.format("%.0f", value) : String.format("%.3g", value);
	}

}
