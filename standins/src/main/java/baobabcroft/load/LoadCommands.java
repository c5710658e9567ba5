package baobabcroft.load;

import baobabcroft.standin.http.StandinJson;
import com.google.common.collect.ImmutableList;
import java.io.PrintStream;
import java.util.Optional;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Commands that send load to a running system and print the measurements as one line of JSON. */
public final class LoadCommands {
    private LoadCommands() {}

    /** Latency that an instance adds: both reports, and the instance's latencies minus the direct ones. */
    private record Overhead(
            TargetReport direct, TargetReport via, Latencies firstByteDifference, Latencies endDifference) {}

    /**
     * Sends load to one URL and prints its {@link TargetReport}.
     *
     * @param args command-line options, see {@link LoadOptions}; {@code --url} is required
     * @param out receives the report
     */
    public static void load(String[] args, PrintStream out) {
        LoadOptions load = new LoadOptions();
        OptionSpec<String> url = load.requiredText("url", "base URL");
        OptionSet options = load.parse(args);
        LoadTarget target = load.target(options, "target", options.valueOf(url), load.model(options), true);
        LoadPlan plan = load.plan(options, ImmutableList.of(target));
        out.println(StandinJson.write(LoadRunner.run(plan).get(0)));
    }

    /**
     * Sends requests alternately to an endpoint and to an instance in front of it, and prints both reports and the
     * difference of their latencies.
     *
     * @param args command-line options, see {@link LoadOptions}; {@code --direct} and {@code --via} are required
     * @param out receives the report
     */
    public static void overhead(String[] args, PrintStream out) {
        LoadOptions load = new LoadOptions();
        OptionSpec<String> directUrl = load.requiredText("direct", "base URL of the endpoint");
        OptionSpec<String> viaUrl = load.requiredText("via", "base URL of the instance");
        OptionSpec<String> directModel = load.optionalText("direct-model", "model named to the endpoint");
        OptionSpec<String> directPath = load.optionalText("direct-path", "path at the endpoint, if another");
        OptionSet options = load.parse(args);
        String model = load.model(options);
        LoadTarget direct = load.target(
                options,
                "direct",
                options.valueOf(directUrl),
                Optional.ofNullable(options.valueOf(directModel)).orElse(model),
                false);
        LoadTarget directAtPath = Optional.ofNullable(options.valueOf(directPath))
                .map(path ->
                        new LoadTarget(direct.name(), direct.url().resolve(path), direct.model(), direct.accountKey()))
                .orElse(direct);
        LoadTarget via = load.target(options, "via", options.valueOf(viaUrl), model, true);
        out.println(StandinJson.write(compare(load.plan(options, ImmutableList.of(directAtPath, via)))));
    }

    private static Overhead compare(LoadPlan plan) {
        ImmutableList<TargetReport> reports = LoadRunner.run(plan);
        TargetReport direct = reports.get(0);
        TargetReport via = reports.get(1);
        return new Overhead(
                direct,
                via,
                via.firstByte().minus(direct.firstByte()),
                via.end().minus(direct.end()));
    }
}
