package baobabcroft.load;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableMap;
import java.net.URI;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Command-line options that all load commands share. */
final class LoadOptions {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final OptionParser parser = new OptionParser();
    private final OptionSpec<String> kind = text("kind", "chat, stream or service", "chat");
    private final OptionSpec<String> arrivals = text("arrivals", "exponential or constant", "exponential");
    private final OptionSpec<String> path = text("path", "path of the requests", "/v1/chat/completions");
    private final OptionSpec<String> model = text("model", "model that chat requests name", "model");
    private final OptionSpec<String> key = optionalText("key", "bearer key of the client account");
    private final OptionSpec<String> headers = optionalText("header", "NAME=VALUE of a further header");
    private final OptionSpec<Double> rate = number("rate", "requests a second to each target", 50.0);
    private final OptionSpec<Double> seconds = number("seconds", "how long to measure", 30.0);
    private final OptionSpec<Double> warmupSeconds = number("warmup-seconds", "how long not to measure first", 5.0);
    private final OptionSpec<Double> timeoutSeconds = number("timeout-seconds", "longest wait for an answer", 30.0);
    private final OptionSpec<Double> seed = number("seed", "seed of the arrivals", 1.0);
    private final OptionSpec<Double> maxTokens = number("max-tokens", "length of the answers", 16.0);
    private final OptionSpec<Double> promptCharacters = number("prompt-characters", "length of the prompts", 400.0);

    OptionSpec<String> text(String name, String description, String defaultValue) {
        return parser.accepts(name, description).withRequiredArg().defaultsTo(defaultValue);
    }

    OptionSpec<String> requiredText(String name, String description) {
        return parser.accepts(name, description).withRequiredArg().required();
    }

    OptionSpec<String> optionalText(String name, String description) {
        return parser.accepts(name, description).withRequiredArg();
    }

    private OptionSpec<Double> number(String name, String description, double defaultValue) {
        return parser.accepts(name, description)
                .withRequiredArg()
                .ofType(Double.class)
                .defaultsTo(defaultValue);
    }

    OptionSet parse(String[] args) {
        return parser.parse(args);
    }

    LoadTarget target(OptionSet options, String name, String baseUrl, String modelName, boolean withKey) {
        URI url = URI.create(baseUrl).resolve(options.valueOf(path));
        Optional<String> accountKey = withKey ? Optional.ofNullable(options.valueOf(key)) : Optional.empty();
        return new LoadTarget(name, url, modelName, accountKey);
    }

    String model(OptionSet options) {
        return options.valueOf(model);
    }

    LoadPlan plan(OptionSet options, List<LoadTarget> targets) {
        return new LoadPlan(
                targets,
                RequestKind.valueOf(options.valueOf(kind).toUpperCase(Locale.ROOT)),
                ArrivalPattern.valueOf(options.valueOf(arrivals).toUpperCase(Locale.ROOT)),
                options.valueOf(rate),
                millis(options, warmupSeconds),
                millis(options, seconds),
                millis(options, timeoutSeconds),
                options.valueOf(seed).longValue(),
                options.valueOf(maxTokens).intValue(),
                options.valueOf(promptCharacters).intValue(),
                headers(options));
    }

    private static long millis(OptionSet options, OptionSpec<Double> seconds) {
        return (long) (options.valueOf(seconds) * MILLIS_PER_SECOND);
    }

    private ImmutableMap<String, String> headers(OptionSet options) {
        ImmutableMap.Builder<String, String> parsed = ImmutableMap.builder();
        for (String header : options.valuesOf(headers)) {
            List<String> parts = Splitter.on('=').limit(2).splitToList(header);
            parsed.put(parts.get(0), parts.get(parts.size() - 1));
        }
        return parsed.buildOrThrow();
    }
}
