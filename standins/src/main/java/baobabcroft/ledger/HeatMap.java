package baobabcroft.ledger;

import com.google.common.collect.ImmutableList;
import java.awt.Color;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.HeatMapChart;
import org.knowm.xchart.HeatMapChartBuilder;

/** Plots a ledger: a cell for each pair, coloured by the number of days. */
final class HeatMap {
    private static final int SIZE_PIXELS = 1_100;
    /** Days above which the colour does not change. */
    private static final int MAX_SHOWN_DAYS = 10;

    private HeatMap() {}

    static void write(PairLedger ledger, String title, Path file) {
        HeatMapChart chart = new HeatMapChartBuilder()
                .width(SIZE_PIXELS)
                .height(SIZE_PIXELS)
                .title(title)
                .build();
        ImmutableList<String> kinds = ledger.kinds().asList();
        List<Number[]> cells = new ArrayList<>();
        for (int x = 0; x < kinds.size(); x++) {
            for (int y = 0; y < kinds.size(); y++) {
                int days = x == y
                        ? 0
                        : ledger.plays(KindPair.of(kinds.get(x), kinds.get(y))).days();
                cells.add(new Number[] {x, y, Math.min(MAX_SHOWN_DAYS, days)});
            }
        }
        chart.addSeries("days, up to " + MAX_SHOWN_DAYS, kinds, kinds, cells);
        chart.getStyler().setXAxisLabelRotation(90);
        chart.getStyler().setRangeColors(new Color[] {Color.WHITE, Color.ORANGE, Color.RED});
        try {
            BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
        } catch (IOException unwritable) {
            throw new UncheckedIOException(unwritable);
        }
    }
}
