package baobabcroft.replica;

import java.util.List;
import java.util.Locale;

/** Prints the ages of the oldest view in series of changes as a Markdown table, for docs/MEASUREMENTS.md. */
final class ViewAgeTable {
    private static final List<Integer> INSTANCES_OF_A_DOMAIN = List.of(3, 14, 50);
    private static final List<Integer> ROUTES = List.of(3, 200, 1_400, 13_000);
    private static final List<Double> LINKS_MEGABITS_PER_SECOND = List.of(7.0, 10.0, 140.0, 1_000.0);

    private ViewAgeTable() {}

    public static void main(String[] arguments) {
        System.out.println("| instances of a domain | routes | 7 Mbit/s | 10 | 140 | 1,000 |");
        System.out.println("|---|---|---|---|---|---|");
        for (int instances : INSTANCES_OF_A_DOMAIN) {
            for (int routes : ROUTES) {
                StringBuilder row = new StringBuilder("| " + instances + " | " + routes + " |");
                for (double link : LINKS_MEGABITS_PER_SECOND) {
                    ViewAgeModel model = ViewAgeModel.start(instances, link, routes);
                    model.changeInSeries(ViewAgeModel.CHANGES);
                    row.append(String.format(Locale.ROOT, " %,d |", model.oldestMillis()));
                }
                System.out.println(row);
            }
        }
    }
}
