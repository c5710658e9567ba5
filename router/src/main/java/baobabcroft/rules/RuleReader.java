package baobabcroft.rules;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Converts one rule of a known kind to its typed form. Reports invalid values as faults. A rule with a fault may be
 * left out of the rule set or added with defaults, since a file with faults yields no rule set. Not thread-safe.
 */
final class RuleReader {
    private static final int DEFAULT_PRIORITY = 5;
    private static final int MAX_PRIORITY = 9;
    private static final long MAX_RATE = 1_000_000_000;
    private static final int MAX_CONCURRENT = 1_000_000;

    private final RuleLine line;
    private final FaultCollector faults;
    private final ValueParser valueParser;

    RuleReader(RuleLine line, FaultCollector faults) {
        this.line = line;
        this.faults = faults;
        this.valueParser = new ValueParser(line, faults);
    }

    void readInto(RuleSet.Builder rules, RuleKind kind) {
        Consumer<RuleSet.Builder> reader =
                switch (kind) {
                    case FAILURE_DOMAIN -> this::readFailureDomain;
                    case ACCOUNT -> this::readAccount;
                    case VERSION -> this::readVersion;
                    case CASCADE -> this::readCascade;
                    case OPERATION -> this::readOperation;
                    case ENDPOINT -> this::readEndpoint;
                };
        reader.accept(rules);
    }

    private void readFailureDomain(RuleSet.Builder rules) {
        Optional<String> name = simpleName();
        Optional<String> region = valueParser.name("region");
        if (name.isPresent() && region.isPresent()) {
            rules.add(new FailureDomainRule(name.get(), region.get()));
        }
    }

    private void readAccount(RuleSet.Builder rules) {
        Optional<String> name = simpleName();
        Optional<String> key = valueParser.sha256("key-sha256");
        ImmutableSet<String> allowed = itemNames(valueParser.items("allow"));
        int priority = valueParser.intInRange("priority", 0, MAX_PRIORITY).orElse(DEFAULT_PRIORITY);
        long requestsPerSecond =
                valueParser.longInRange("requests-per-second", 1, MAX_RATE).orElse(MAX_RATE);
        long tokensPerMinute =
                valueParser.longInRange("tokens-per-minute", 1, MAX_RATE).orElse(MAX_RATE);
        int maxConcurrent =
                valueParser.intInRange("max-concurrent", 1, MAX_CONCURRENT).orElse(MAX_CONCURRENT);
        if (name.isPresent() && key.isPresent()) {
            rules.add(new AccountRule(
                    name.get(), key.get(), allowed, priority, requestsPerSecond, tokensPerMinute, maxConcurrent));
        }
    }

    private void readVersion(RuleSet.Builder rules) {
        Optional<VersionId> id = versionId();
        Optional<VersionState> state = valueParser.state("state");
        Optional<Integer> share = valueParser.intInRange("share", 0, 100);
        Optional<Long> priceMicros = valueParser.priceMicros("price");
        Optional<Double> quality = valueParser.fraction("quality");
        boolean overruled = valueParser
                .choice("automatic-stop", ImmutableMap.of("overruled", true))
                .orElse(false);
        state.ifPresent(this::checkShareMatchesState);
        if (id.isPresent() && state.isPresent() && priceMicros.isPresent() && quality.isPresent()) {
            rules.add(new VersionRule(
                    id.get(), state.get(), share.orElse(0), priceMicros.get(), quality.get(), overruled));
        }
    }

    private void checkShareMatchesState(VersionState state) {
        Optional<RuleWord> share = line.word("share");
        if (state == VersionState.OPEN && share.isEmpty()) {
            faults.add(line.number(), line.nameColumn(), "no share on an open version", "share=<percent>");
        }
        if (state != VersionState.OPEN && share.isPresent()) {
            String problem = "a share on a version that is not open";
            faults.add(line.number(), share.get().column(), problem, "state=open, or no share");
        }
    }

    private void readCascade(RuleSet.Builder rules) {
        Optional<String> name = simpleName();
        ImmutableSet<String> models = itemNames(valueParser.items("models"));
        Optional<Double> qualityTarget = valueParser.fraction("quality-target");
        if (name.isPresent() && qualityTarget.isPresent()) {
            rules.add(new CascadeRule(name.get(), models.asList(), qualityTarget.get()));
        }
    }

    private void readOperation(RuleSet.Builder rules) {
        Optional<List<String>> parts = operationName();
        Optional<Boolean> idempotent = valueParser.yesOrNo("idempotent");
        Optional<Long> priceMicros = valueParser.priceMicros("price");
        Optional<Long> timeoutMillis = valueParser.durationMillis("timeout");
        if (parts.isPresent() && idempotent.isPresent() && priceMicros.isPresent() && timeoutMillis.isPresent()) {
            rules.add(new OperationRule(
                    parts.get().get(0), parts.get().get(1), idempotent.get(), priceMicros.get(), timeoutMillis.get()));
        }
    }

    private void readEndpoint(RuleSet.Builder rules) {
        Optional<String> name = simpleName();
        var address = valueParser.address("address");
        Optional<String> failureDomain = valueParser.name("failure-domain");
        ImmutableSet<VersionId> versions = versions(valueParser.items("versions"));
        Optional<String> service = valueParser.name("service");
        Optional<Integer> maxConcurrent = valueParser.intInRange("max-concurrent", 1, MAX_CONCURRENT);
        boolean checksFencing = valueParser.yesOrNo("checks-fencing").orElse(false);
        if (line.word("versions").isPresent() == line.word("service").isPresent()) {
            String problem = "an endpoint serves either versions or a service";
            faults.add(line.number(), line.nameColumn(), problem, "one of versions=<...> and service=<name>");
        }
        if (name.isPresent() && address.isPresent() && failureDomain.isPresent() && maxConcurrent.isPresent()) {
            rules.add(new EndpointRule(
                    name.get(),
                    address.get(),
                    failureDomain.get(),
                    versions,
                    service,
                    maxConcurrent.get(),
                    checksFencing));
        }
    }

    private ImmutableSet<VersionId> versions(ImmutableList<RuleWord> items) {
        ImmutableSet.Builder<VersionId> versions = ImmutableSet.builder();
        for (RuleWord item : items) {
            VersionId.parse(item.key()).ifPresent(versions::add);
        }
        return versions.build();
    }

    private static ImmutableSet<String> itemNames(ImmutableList<RuleWord> items) {
        return items.stream().map(RuleWord::key).collect(ImmutableSet.toImmutableSet());
    }

    private Optional<String> simpleName() {
        if (ValueParser.isName(line.name())) {
            return Optional.of(line.name());
        }
        return reportInvalidName("a name of at most 64 letters, digits, '.', '_' and '-'");
    }

    private Optional<VersionId> versionId() {
        Optional<VersionId> id = VersionId.parse(line.name())
                .filter(parsed -> ValueParser.isName(parsed.model()) && ValueParser.isName(parsed.version()));
        return id.isPresent() ? id : reportInvalidName("a version such as film-small@2");
    }

    private Optional<List<String>> operationName() {
        List<String> parts = Splitter.on('/').splitToList(line.name());
        if (parts.size() == 2 && ValueParser.isName(parts.get(0)) && ValueParser.isName(parts.get(1))) {
            return Optional.of(parts);
        }
        return reportInvalidName("an operation such as ledger/place-order");
    }

    private <T> Optional<T> reportInvalidName(String expected) {
        faults.add(line.number(), line.nameColumn(), "name is '" + line.name() + "'", expected);
        return Optional.empty();
    }
}
