package baobabcroft.soak;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/**
 * The result of a run.
 *
 * @param options the run's arguments
 * @param history what was seen
 * @param verdicts what it shows
 */
record Report(SoakOptions options, History history, ImmutableList<Verdict> verdicts) {
    private static final int MAX_LINES = 5;
    private static final long BUCKET_MILLIS = 1_000;

    /** Returns whether a promise was broken that decides on the run. */
    boolean isBroken() {
        return verdicts.stream()
                .filter(verdict -> !options.untimed() || !verdict.promise().isTimed())
                .anyMatch(Verdict::isBroken);
    }

    /** Returns the report as text. */
    String text() {
        StringBuilder text = new StringBuilder();
        text.append(String.format(
                "seed %d, %d instances, %d endpoints, %.1f s: %d requests, %d served, %d at endpoints%n",
                options.seed(),
                options.instances(),
                history.endpoints(),
                options.durationMillis() / 1e3,
                history.calls().size(),
                history.calls().stream().filter(Call::isServed).count(),
                history.arrivals().size()));
        history.faults().forEach(fault -> text.append("  ").append(fault).append('\n'));
        for (Verdict verdict : verdicts) {
            text.append(verdict).append('\n');
            verdict.broken().stream()
                    .limit(MAX_LINES)
                    .forEach(line -> text.append("    ").append(line).append('\n'));
        }
        return text.append(isBroken() ? "BROKEN" : "HELD").append('\n').toString();
    }

    /** Writes the text and a plot of the requests by second and outcome. */
    void writeTo(Path directory) throws IOException {
        Files.writeString(directory.resolve("report.txt"), text());
        XYChart chart = new XYChartBuilder()
                .width(1_200)
                .height(500)
                .title("seed " + options.seed())
                .xAxisTitle("s")
                .yAxisTitle("requests/s")
                .build();
        addSeries(chart, "served", Call::isServed);
        addSeries(chart, "refused", Call::saysNotRun);
        addSeries(chart, "connection failed", call -> call.outcome() == Call.Outcome.CONNECTION_FAILED);
        addSeries(chart, "late", call -> call.outcome() == Call.Outcome.TIMED_OUT);
        List<Double> disturbances = new ArrayList<>();
        for (long at = 0; at < options.durationMillis(); at += BUCKET_MILLIS) {
            long from = at;
            disturbances.add((double) history.faults().stream()
                    .filter(fault -> fault.overlaps(from, from + BUCKET_MILLIS))
                    .count());
        }
        chart.addSeries("disturbances", disturbances).setMarker(SeriesMarkers.NONE);
        BitmapEncoder.saveBitmap(chart, directory.resolve("report.png").toString(), BitmapEncoder.BitmapFormat.PNG);
    }

    private void addSeries(XYChart chart, String name, Predicate<Call> filter) {
        double[] counts = new double[(int) (options.durationMillis() / BUCKET_MILLIS) + 1];
        history.calls().stream()
                .filter(filter)
                .mapToInt(call -> (int) (call.sentMillis() / BUCKET_MILLIS))
                .filter(second -> second >= 0 && second < counts.length)
                .forEach(second -> counts[second]++);
        chart.addSeries(name, counts).setMarker(SeriesMarkers.NONE);
    }
}
