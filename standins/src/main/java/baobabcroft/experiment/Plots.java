package baobabcroft.experiment;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;

/** Writes one bar chart per measure as a PNG file, with a bar for each policy. */
final class Plots {
    private static final int WIDTH_PIXELS = 900;
    private static final int HEIGHT_PIXELS = 500;

    private Plots() {}

    static void write(Path folder, String scenario, List<Result> results) {
        writeBarChart(folder, scenario, "answered-share", results, Result::answeredShare);
        writeBarChart(folder, scenario, "end-p99-millis", results, result -> result.endMillis()
                .p99());
        writeBarChart(folder, scenario, "cost-micros", results, Result::costMicrosPerAnswer);
        writeBarChart(folder, scenario, "exposure", results, Result::exposure);
    }

    private static void writeBarChart(
            Path folder, String scenario, String measure, List<Result> results, ToDoubleFunction<Result> value) {
        CategoryChart chart = new CategoryChartBuilder()
                .width(WIDTH_PIXELS)
                .height(HEIGHT_PIXELS)
                .title(scenario)
                .xAxisTitle("policy")
                .yAxisTitle(measure)
                .build();
        List<String> names = results.stream().map(Result::policy).toList();
        List<Double> values =
                results.stream().map(result -> value.applyAsDouble(result)).toList();
        chart.addSeries(measure, names, values);
        String file = folder.resolve(scenario + "-" + measure).toString();
        try {
            BitmapEncoder.saveBitmap(chart, file, BitmapEncoder.BitmapFormat.PNG);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
