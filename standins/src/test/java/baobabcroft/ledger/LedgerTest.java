package baobabcroft.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedSet;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class LedgerTest {
    private static final String SITE =
            """
            name = "north"
            troubles = [
              { kind = "release", share = 0.5, gap_s = 1.0 },
              { kind = "config_change", how = "idle" },
              { kind = "platform_down", how = "silent", for_s = 4.0 },
              { kind = "platform_down", how = "busy", for_s = 5.0 },
              { kind = "lossy", x = 0.03, for_s = 2.0, zone = "a" },
              { kind = "node_kill", share = 0.1 },
            ]
            """;

    @TempDir
    private Path folder;

    private Path siteFile;
    private Path journal;

    @BeforeEach
    void writeFiles() throws IOException {
        siteFile = Files.writeString(folder.resolve("north.toml"), SITE);
        journal = Files.createDirectory(folder.resolve("journal"));
        entry(
                "1",
                "{'site':'north','days':[{'troubles':['release','lossy'],'rules':{'DRAIN':2},'figure':0.4},"
                        + "{'troubles':['lossy','release','node_kill'],'rules':{},'figure':0.7},"
                        + "{'troubles':[],'figure':0.5}]}");
        entry("2", "{'site':null,'argv':['.../north.toml'],'days':[{'troubles':['lossy','release'],'figure':0.6}]}");
        entry("3", "{'site':'south','days':[{'troubles':['release','config_change'],'figure':0.6}]}");
    }

    private void entry(String name, String text) throws IOException {
        Files.writeString(journal.resolve(name + ".json"), text.replace('\'', '"'));
    }

    private String run(String... extra) {
        List<String> arguments =
                new ArrayList<>(List.of("--journal", journal.toString(), "--site-file", siteFile.toString()));
        arguments.addAll(List.of(extra));
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        LedgerCommand.run(arguments.toArray(String[]::new), new PrintStream(bytes, true, StandardCharsets.UTF_8));
        return bytes.toString(StandardCharsets.UTF_8);
    }

    @Nested
    class Ledgers {
        @Test
        void countDaysOfTheSiteOnly() {
            String page = run();

            assertTrue(page.startsWith("north: 4 days, 1 of them without kinds"), page);
            assertTrue(page.contains("5 kinds, 10 pairs, 7 never"), page);
            assertTrue(page.contains("| lossy + release | 3 | 1 | 0.400 |"), page);
        }

        @Test
        void reportDamagedEntriesInOneLineEach() throws IOException {
            entry("4", "{'site':'north','da");
            entry("5", "{'site':'north'}");
            entry("6", "[]");
            String page = run();

            assertEquals(
                    3, page.lines().filter(line -> line.startsWith("unread: ")).count());
            assertTrue(page.startsWith("north: 4 days"), page);
        }

        @Test
        void arePlotted() throws IOException {
            Path plot = folder.resolve("pairs.png");
            run("--plot", plot.toString());

            assertTrue(Files.size(plot) > 0);
        }

        @Test
        void needReadableFiles() {
            assertThrows(IllegalArgumentException.class, () -> SiteFile.read(folder.resolve("none.toml")));
            assertThrows(IllegalArgumentException.class, () -> Journal.read(folder.resolve("none")));
        }
    }

    @Nested
    class GeneratedDays {
        private final ImmutableList<KindPair> none = ImmutableList.of();

        private List<ObjectNode> generate(long seed, int most) {
            SiteFile site = SiteFile.read(siteFile);
            return DayGenerator.generate(site, KindPair.allOf(site.kinds()), seed, most);
        }

        private static List<JsonNode> entriesOf(ObjectNode day) {
            List<JsonNode> entries = new ArrayList<>();
            day.path("plan").forEach(entries::add);
            day.path("faults").forEach(entries::add);
            entries.sort((one, other) ->
                    Double.compare(one.path("at").asDouble(), other.path("at").asDouble()));
            return entries;
        }

        /** What comes later begins while the earlier one goes on; an earlier one that does not last has no order. */
        @Test
        void coverAllPairsInBothOrdersWhereTheFirstLasts() {
            ImmutableSet<String> lasting = ImmutableSet.of("release", "platform_down", "lossy");
            Set<String> covered = new HashSet<>();
            for (ObjectNode day : generate(3, 1_000)) {
                List<JsonNode> entries = entriesOf(day);
                assertTrue(entries.size() <= 4);
                for (int later = 1; later < entries.size(); later++) {
                    for (int earlier = 0; earlier < later; earlier++) {
                        covered.add(entries.get(earlier).path("kind").asText() + ">"
                                + entries.get(later).path("kind").asText());
                    }
                }
            }
            ImmutableSortedSet<String> kinds = SiteFile.read(siteFile).kinds();
            for (String first : kinds) {
                for (String second : kinds) {
                    boolean needed = !first.equals(second) && lasting.contains(first);
                    assertTrue(!needed || covered.contains(first + ">" + second), first + ">" + second);
                }
            }
            assertTrue(covered.contains("config_change>node_kill") || covered.contains("node_kill>config_change"));
        }

        @Test
        void keepPlannedWorkApartAndLastUntilTheNextBegins() {
            for (ObjectNode day : generate(3, 1_000)) {
                day.path("plan")
                        .forEach(entry -> assertTrue(List.of("release", "config_change")
                                .contains(entry.path("kind").asText())));
                entriesOf(day).stream()
                        .filter(entry -> entry.has("for_s"))
                        .forEach(entry -> assertTrue(entry.path("for_s").asDouble() >= 8));
            }
        }

        @Test
        void areTheSameForTheSameSeed() {
            assertEquals(generate(3, 1_000), generate(3, 1_000));
            assertEquals(2, generate(3, 2).size());
        }

        @Test
        void areWrittenForPairsThatTheJournalLacks() throws IOException {
            Path out = folder.resolve("days");
            DaysCommand.run(
                    new String[] {
                        "--site-file", siteFile.toString(), "--journal", journal.toString(), "--out", out.toString()
                    },
                    new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8));

            try (Stream<Path> files = Files.list(out)) {
                assertTrue(files.count() > 0);
            }
        }

        @Test
        void areNotWrittenForWrongArguments() {
            SiteFile site = SiteFile.read(siteFile);
            assertThrows(IllegalArgumentException.class, () -> DayGenerator.generate(site, none, -1, 1));
            assertThrows(IllegalArgumentException.class, () -> DayGenerator.generate(site, none, 1, 0));
        }
    }
}
