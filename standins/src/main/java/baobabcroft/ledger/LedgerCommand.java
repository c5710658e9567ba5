package baobabcroft.ledger;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** The {@code ledger} command: prints which pairs of kinds were played together, and which never. */
public final class LedgerCommand {
    private LedgerCommand() {}

    /**
     * Runs the command.
     *
     * @param args {@code --journal DIR --site-file FILE [--plot FILE]}
     * @param out receives a Markdown page
     * @throws IllegalArgumentException if the journal or the site file cannot be read
     */
    public static void run(String[] args, PrintStream out) {
        OptionParser parser = new OptionParser();
        OptionSpec<String> journalFolder =
                parser.accepts("journal").withRequiredArg().required();
        OptionSpec<String> siteFile =
                parser.accepts("site-file").withRequiredArg().required();
        OptionSpec<String> plot = parser.accepts("plot").withRequiredArg();
        OptionSet options = parser.parse(args);
        Journal journal = Journal.read(Path.of(options.valueOf(journalFolder)));
        SiteFile site = SiteFile.read(Path.of(options.valueOf(siteFile)));
        ImmutableList<PlayedDay> days = journal.days().stream()
                .filter(day -> day.site().equals(site.site()))
                .collect(ImmutableList.toImmutableList());
        PairLedger ledger = PairLedger.of(days, site.kinds());
        print(out, site, days, ledger);
        journal.unread().forEach(line -> out.println("unread: " + line));
        options.valuesOf(plot).forEach(file -> HeatMap.write(ledger, "Pairs of kinds, " + site.site(), Path.of(file)));
    }

    private static void print(PrintStream out, SiteFile site, List<PlayedDay> days, PairLedger ledger) {
        ImmutableList<KindPair> pairs = KindPair.allOf(ledger.kinds());
        ImmutableList<KindPair> never = ledger.neverPlayed();
        long unknown = days.stream().filter(day -> day.kinds().isEmpty()).count();
        out.printf(
                Locale.ROOT,
                "%s: %d days, %d of them without kinds; %d kinds, %d pairs, %d never on the same day%n%n",
                site.site(),
                days.size(),
                unknown,
                ledger.kinds().size(),
                pairs.size(),
                never.size());
        out.println("| kind | never with |");
        out.println("|---|---|");
        for (String kind : ledger.kinds()) {
            ImmutableSortedSet<String> others = never.stream()
                    .filter(pair -> pair.first().equals(kind))
                    .map(KindPair::second)
                    .collect(ImmutableSortedSet.toImmutableSortedSet(String::compareTo));
            if (!others.isEmpty()) {
                out.printf("| %s | %s |%n", kind, String.join(", ", others));
            }
        }
        out.println();
        out.println("| pair | days | broken | worst worth |");
        out.println("|---|---|---|---|");
        for (KindPair pair : pairs) {
            PairLedger.Plays plays = ledger.plays(pair);
            if (plays.broken() > 0) {
                out.printf(
                        Locale.ROOT,
                        "| %s | %d | %d | %.3f |%n",
                        pair,
                        plays.days(),
                        plays.broken(),
                        plays.worstWorth());
            }
        }
        out.println();
        out.println("The journal does not say when the disturbances of a day began, nor the kinds of varied days.");
    }
}
