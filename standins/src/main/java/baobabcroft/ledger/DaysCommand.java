package baobabcroft.ledger;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** The {@code days} command: writes day files in which pairs of kinds overlap that the journal does not have. */
public final class DaysCommand {
    private static final int DEFAULT_MOST = 1_000;

    private DaysCommand() {}

    /**
     * Runs the command.
     *
     * @param args {@code --site-file FILE --out DIR [--seed N] [--most N] [--journal DIR]}; without a journal all pairs
     *     count as never played
     * @param out receives a line on what was written
     * @throws IllegalArgumentException if an argument is wrong; nothing is written then
     * @throws IOException if a day cannot be written
     */
    public static void run(String[] args, PrintStream out) throws IOException {
        OptionParser parser = new OptionParser();
        OptionSpec<String> siteFile =
                parser.accepts("site-file").withRequiredArg().required();
        OptionSpec<String> folder = parser.accepts("out").withRequiredArg().required();
        OptionSpec<Long> seed =
                parser.accepts("seed").withRequiredArg().ofType(Long.class).defaultsTo(1L);
        OptionSpec<Integer> most =
                parser.accepts("most").withRequiredArg().ofType(Integer.class).defaultsTo(DEFAULT_MOST);
        OptionSpec<String> journal = parser.accepts("journal").withRequiredArg();
        OptionSet options = parser.parse(args);
        SiteFile site = SiteFile.read(Path.of(options.valueOf(siteFile)));
        List<PlayedDay> played = options.has(journal)
                ? Journal.read(Path.of(options.valueOf(journal))).days()
                : List.of();
        ImmutableList<PlayedDay> ofSite =
                played.stream().filter(day -> day.site().equals(site.site())).collect(ImmutableList.toImmutableList());
        ImmutableList<KindPair> missing = PairLedger.of(ofSite, site.kinds()).neverPlayed();
        ImmutableList<ObjectNode> days =
                DayGenerator.generate(site, missing, options.valueOf(seed), options.valueOf(most));
        write(days, Path.of(options.valueOf(folder)));
        out.printf("%d pairs of %s to play, %d days written%n", missing.size(), site.site(), days.size());
    }

    private static void write(List<ObjectNode> days, Path folder) throws IOException {
        TomlMapper toml = new TomlMapper();
        Files.createDirectories(folder);
        for (ObjectNode day : days) {
            Files.writeString(folder.resolve(day.path("name").asText() + ".toml"), toml.writeValueAsString(day));
        }
    }
}
