package baobabcroft.standin;

import baobabcroft.external.LiveEntry;
import baobabcroft.rules.ParsedRules;
import baobabcroft.rules.RuleSet;
import baobabcroft.rules.RulesParser;
import baobabcroft.standin.engine.EngineSettings;
import baobabcroft.standin.engine.EngineStandin;
import baobabcroft.standin.http.StandinJson;
import baobabcroft.standin.kv.KeyValueStandin;
import baobabcroft.standin.live.LiveListStandin;
import baobabcroft.standin.rating.RatingStandin;
import baobabcroft.standin.service.ServiceStandin;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Subcommands that start stand-ins and serve until the process is stopped. */
final class ServeCommands {
    private static final int KEY_VALUE_PORT = 7301;
    private static final int LIVE_LIST_PORT = 7302;
    private static final int RATING_PORT = 7303;
    private static final int INSTANCE_PARTS = 3;

    private ServeCommands() {}

    /** Line printed when the stand-ins accept connections, with their ports by name. */
    private record Ready(boolean ready, ImmutableMap<String, Integer> ports) {}

    static void keyValue(String[] args, PrintStream out) throws InterruptedException {
        OptionParser parser = new OptionParser();
        OptionSpec<Integer> port = portOption(parser, "port", KEY_VALUE_PORT);
        serve(out, "kv", KeyValueStandin.start(parser.parse(args).valueOf(port)).port());
    }

    static void liveList(String[] args, PrintStream out) throws InterruptedException {
        OptionParser parser = new OptionParser();
        OptionSpec<Integer> port = portOption(parser, "port", LIVE_LIST_PORT);
        serve(
                out,
                "live-list",
                LiveListStandin.start(parser.parse(args).valueOf(port)).port());
    }

    static void rating(String[] args, PrintStream out) throws InterruptedException {
        OptionParser parser = new OptionParser();
        OptionSpec<Integer> port = portOption(parser, "port", RATING_PORT);
        serve(
                out,
                "rating",
                RatingStandin.start(parser.parse(args).valueOf(port)).port());
    }

    static void engine(String[] args, PrintStream out) throws InterruptedException {
        OptionParser parser = new OptionParser();
        OptionSpec<Integer> port = portOption(parser, "port", 0);
        OptionSpec<Long> seed = seedOption(parser);
        OptionSpec<Double> tokenMillis = parser.accepts("token-millis", "time for one token, in milliseconds")
                .withRequiredArg()
                .ofType(Double.class)
                .defaultsTo(EngineSettings.SMALL.tokenMillis());
        OptionSpec<String> versions = parser.accepts("versions", "versions served, as MODEL@VERSION; any if absent")
                .withRequiredArg()
                .withValuesSeparatedBy(',');
        OptionSet options = parser.parse(args);
        EngineSettings settings = EngineSettings.SMALL.withTokenMillis(options.valueOf(tokenMillis));
        EngineStandin engine = EngineStandin.start(
                options.valueOf(port),
                options.valueOf(seed),
                settings,
                ImmutableSet.copyOf(options.valuesOf(versions)));
        serve(out, "engine", engine.port());
    }

    static void service(String[] args, PrintStream out) throws InterruptedException {
        OptionParser parser = new OptionParser();
        OptionSpec<Integer> port = portOption(parser, "port", 0);
        OptionSpec<Long> seed = seedOption(parser);
        OptionSpec<Long> serviceMillis = parser.accepts("service-millis", "time for one call, in milliseconds")
                .withRequiredArg()
                .ofType(Long.class)
                .defaultsTo(0L);
        OptionSpec<Void> checkFencing = parser.accepts("check-fencing", "refuse old fencing numbers");
        OptionSet options = parser.parse(args);
        ServiceStandin service = ServiceStandin.start(options.valueOf(port), options.valueOf(seed));
        service.setServiceMillis(options.valueOf(serviceMillis));
        service.setChecksFencing(options.has(checkFencing));
        serve(out, "service", service.port());
    }

    static void all(String[] args, PrintStream out) throws InterruptedException, IOException {
        OptionParser parser = new OptionParser();
        OptionSpec<Integer> keyValuePort = portOption(parser, "kv-port", KEY_VALUE_PORT);
        OptionSpec<Integer> liveListPort = portOption(parser, "live-list-port", LIVE_LIST_PORT);
        OptionSpec<Integer> ratingPort = portOption(parser, "rating-port", RATING_PORT);
        OptionSpec<Long> seed = seedOption(parser);
        OptionSpec<String> rules =
                parser.accepts("rules", "rules file").withRequiredArg().required();
        OptionSpec<String> instances = parser.accepts("instance", "NAME,FAILURE-DOMAIN,IP:PORT of a router instance")
                .withRequiredArg();
        OptionSet options = parser.parse(args);
        Standins.Ports ports = new Standins.Ports(
                options.valueOf(keyValuePort), options.valueOf(liveListPort), options.valueOf(ratingPort));
        Standins standins = Standins.start(ports, readRules(options.valueOf(rules)), options.valueOf(seed));
        options.valuesOf(instances).forEach(text -> standins.liveList().put(instanceOf(text)));
        serve(out, portsOf(standins));
    }

    private static RuleSet readRules(String file) throws IOException {
        ParsedRules parsed = RulesParser.parse(Files.readString(Path.of(file)));
        if (parsed instanceof ParsedRules.Valid valid) {
            return valid.rules();
        }
        throw new IllegalArgumentException("invalid rules: " + parsed);
    }

    private static LiveEntry instanceOf(String text) {
        List<String> parts = Splitter.on(',').splitToList(text);
        if (parts.size() != INSTANCE_PARTS) {
            throw new IllegalArgumentException("expected NAME,FAILURE-DOMAIN,IP:PORT but got '" + text + "'");
        }
        return new LiveEntry(
                parts.get(0),
                LiveEntry.Role.INSTANCE,
                LiveEntry.State.LIVE,
                parts.get(1),
                HostAndPort.fromString(parts.get(2)));
    }

    private static ImmutableMap<String, Integer> portsOf(Standins standins) {
        ImmutableMap.Builder<String, Integer> ports = ImmutableMap.builder();
        ports.put("kv", standins.keyValue().port());
        ports.put("live-list", standins.liveList().port());
        ports.put("rating", standins.rating().port());
        standins.engines().forEach((name, engine) -> ports.put(name, engine.port()));
        standins.services().forEach((name, service) -> ports.put(name, service.port()));
        return ports.buildOrThrow();
    }

    private static OptionSpec<Integer> portOption(OptionParser parser, String name, int defaultPort) {
        return parser.accepts(name, "port; 0 for any free one")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(defaultPort);
    }

    private static OptionSpec<Long> seedOption(OptionParser parser) {
        return parser.accepts("seed", "seed of all draws")
                .withRequiredArg()
                .ofType(Long.class)
                .defaultsTo(1L);
    }

    private static void serve(PrintStream out, String name, int port) throws InterruptedException {
        serve(out, ImmutableMap.of(name, port));
    }

    private static void serve(PrintStream out, ImmutableMap<String, Integer> ports) throws InterruptedException {
        out.println(StandinJson.write(new Ready(true, ports)));
        out.flush();
        new CountDownLatch(1).await();
    }
}
