package baobabcroft.experiment;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** The {@code experiment} command: runs scenarios with all policies of their family and writes JSON and plots. */
public final class ExperimentCommand {
    private static final String ALL = "all";

    private final PrintStream out;
    private final ObjectMapper json = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    private ExperimentCommand(PrintStream out) {
        this.out = out;
    }

    /** Costs to compare the results with: those of the oracle and of the best fixed model. */
    private record CostReference(CostOracle.Outcome oracle, CostOracle.Outcome bestFixed) {}

    /**
     * Runs the command and prints progress and results to standard output.
     *
     * @param args {@code --scenario NAME|all --deployment kovacic|mizukumi --seed N --out DIR}
     * @throws IllegalArgumentException if the scenario is unknown
     */
    public static void main(String[] args) {
        run(args, System.out);
    }

    /**
     * Runs the command.
     *
     * @param args {@code --scenario NAME|all --deployment kovacic|mizukumi --seed N --out DIR}
     * @param out receives progress and a summary line for each policy
     * @throws IllegalArgumentException if the scenario is unknown
     */
    public static void run(String[] args, PrintStream out) {
        OptionParser parser = new OptionParser();
        OptionSpec<String> scenario =
                parser.accepts("scenario").withRequiredArg().defaultsTo(ALL);
        OptionSpec<String> deployment =
                parser.accepts("deployment").withRequiredArg().defaultsTo("kovacic");
        OptionSpec<Long> seed =
                parser.accepts("seed").withRequiredArg().ofType(Long.class).defaultsTo(1L);
        OptionSpec<String> folder = parser.accepts("out").withRequiredArg().defaultsTo("results");
        OptionSet options = parser.parse(args);
        Path path = Path.of(options.valueOf(folder));
        ExperimentCommand command = new ExperimentCommand(out);
        scenarios(options.valueOf(scenario)).forEach(each -> {
            command.runScenario(each, Deployment.named(options.valueOf(deployment)), options.valueOf(seed), path);
        });
    }

    private static List<Scenario> scenarios(String name) {
        if (name.equals(ALL)) {
            return Scenario.all();
        }
        return List.of(
                Scenario.named(name).orElseThrow(() -> new IllegalArgumentException("unknown scenario: " + name)));
    }

    private void runScenario(Scenario scenario, Deployment deployment, long seed, Path folder) {
        Runner runner = new Runner(scenario, deployment, seed);
        List<Result> results = new ArrayList<>();
        out.printf("%s %s seed %d%n", scenario.name(), deployment.name(), seed);
        for (Policy policy : Policy.of(scenario.family())) {
            Result result = runner.run(policy);
            results.add(result);
            out.println(summaryLine(result));
        }
        CostReference reference =
                new CostReference(CostOracle.leastCost(runner.requests()), CostOracle.bestFixed(runner.requests()));
        if (scenario.isCascade()) {
            out.printf("  %s%n", reference);
        }
        write(folder, scenario.name() + "-" + deployment.name(), results, reference);
    }

    private static String summaryLine(Result result) {
        return String.format(
                Locale.ROOT,
                "  %-18s n=%d inTime=%.3f good=%.3f late=%.4f ttft=%s end=%s urgentP99=%.0f retry=%.4f xr=%.1fMB"
                        + " cost=%.1f q=%.3f rated=%d esc=%d expo=%d/%d crash=%d small=%.3f urgent=%.3f %s %s",
                result.policy(),
                result.offered(),
                result.answeredShare(),
                result.goodputShare(),
                result.lateShare(),
                text(result.firstTokenMillis()),
                text(result.endMillis()),
                result.startedP99Millis(),
                result.retriesPerRequest(),
                result.crossRegionMegabytes(),
                result.costMicrosPerAnswer(),
                result.quality(),
                result.ratings(),
                result.escalations(),
                result.exposure(),
                result.referenceExposure(),
                result.crashes(),
                result.smallAccountsShare(),
                result.urgentShare(),
                result.results(),
                result.stopped());
    }

    private static String text(Result.Percentiles percentiles) {
        return percentiles.p50() + "/" + percentiles.p95() + "/" + percentiles.p99();
    }

    private void write(Path folder, String name, List<Result> results, CostReference reference) {
        try {
            Files.createDirectories(folder);
            json.writeValue(folder.resolve(name + ".json").toFile(), results);
            json.writeValue(folder.resolve(name + "-reference.json").toFile(), reference);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        Plots.write(folder, name, results);
    }
}
