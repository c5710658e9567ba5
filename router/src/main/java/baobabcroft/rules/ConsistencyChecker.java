package baobabcroft.rules;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedSet;
import com.google.common.collect.Iterables;
import com.google.common.collect.ListMultimap;
import com.google.common.collect.MultimapBuilder;
import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Stream;

/**
 * Checks the constraints between the rules of one file: unique names, keys and addresses, shares that add up to 100,
 * and references to declared names. Not thread-safe.
 */
final class ConsistencyChecker {
    private static final int TOTAL_SHARE_PERCENT = 100;

    private final ImmutableList<RuleLine> lines;
    private final FaultCollector faults;
    private final ImmutableSet<String> failureDomains;
    private final ImmutableSet<String> versions;
    private final ImmutableSet<String> models;
    private final ImmutableSet<String> cascades;
    private final ImmutableSet<String> operations;
    private final ImmutableSet<String> services;

    ConsistencyChecker(ImmutableList<RuleLine> lines, FaultCollector faults) {
        this.lines = lines;
        this.faults = faults;
        this.failureDomains = names(RuleKind.FAILURE_DOMAIN, name -> name);
        this.versions = names(RuleKind.VERSION, name -> name);
        this.models = names(RuleKind.VERSION, ConsistencyChecker::modelOf);
        this.cascades = names(RuleKind.CASCADE, name -> name);
        this.operations = names(RuleKind.OPERATION, name -> name);
        this.services = names(RuleKind.OPERATION, ConsistencyChecker::serviceOf);
    }

    private ImmutableSet<String> names(RuleKind kind, Function<String, String> part) {
        return linesOf(kind)
                .map(RuleLine::name)
                .map(part)
                .filter(name -> !name.isEmpty())
                .collect(ImmutableSortedSet.toImmutableSortedSet(String::compareTo));
    }

    private Stream<RuleLine> linesOf(RuleKind kind) {
        return lines.stream().filter(line -> line.kind().equals(kind.keyword()));
    }

    private static String modelOf(String versionId) {
        int at = versionId.indexOf('@');
        return at < 0 ? "" : versionId.substring(0, at);
    }

    private static String serviceOf(String operation) {
        int slash = operation.indexOf('/');
        return slash < 0 ? "" : operation.substring(0, slash);
    }

    void check() {
        checkNoDuplicateRule();
        checkNameConflicts();
        checkShares();
        checkUnique(RuleKind.ACCOUNT, "key-sha256", value -> value);
        checkUnique(RuleKind.ENDPOINT, "address", ConsistencyChecker::normalizedAddress);
        checkReferences(RuleKind.ENDPOINT, "failure-domain", "failure domain", failureDomains);
        checkReferences(RuleKind.ENDPOINT, "service", "service", services);
        checkReferences(RuleKind.ENDPOINT, "versions", "version", versions);
        checkReferences(RuleKind.CASCADE, "models", "model", models);
        ImmutableSet<String> allowable = Stream.of(models, versions, cascades, services, operations)
                .flatMap(ImmutableSet::stream)
                .collect(ImmutableSortedSet.toImmutableSortedSet(String::compareTo));
        checkReferences(RuleKind.ACCOUNT, "allow", "model, version, cascade, service or operation", allowable);
    }

    private void checkNoDuplicateRule() {
        Map<String, RuleLine> seen = new HashMap<>();
        for (RuleLine line : lines) {
            RuleLine first = seen.putIfAbsent(line.qualifiedName(), line);
            if (first != null) {
                String problem =
                        "duplicate rule for " + line.qualifiedName() + ", first defined on line " + first.number();
                faults.add(line.number(), line.nameColumn(), problem, "at most one rule for each name");
            }
        }
    }

    /**
     * Models, cascades and services share one namespace in callers' requests and accounts' permissions, so a name may
     * denote only one of them.
     */
    private void checkNameConflicts() {
        linesOf(RuleKind.CASCADE)
                .filter(line -> models.contains(line.name()))
                .forEach(line -> reportNameConflict(line, line.name(), "model"));
        Set<String> reported = new HashSet<>();
        linesOf(RuleKind.OPERATION).forEach(line -> {
            String service = serviceOf(line.name());
            boolean model = models.contains(service);
            if ((model || cascades.contains(service)) && reported.add(service)) {
                reportNameConflict(line, service, model ? "model" : "cascade");
            }
        });
    }

    private void reportNameConflict(RuleLine line, String name, String owner) {
        String problem = "'" + name + "' is already the name of a " + owner;
        faults.add(line.number(), line.nameColumn(), problem, "a unique name");
    }

    private void checkShares() {
        ListMultimap<String, RuleLine> byModel =
                MultimapBuilder.treeKeys().arrayListValues().build();
        linesOf(RuleKind.VERSION).forEach(line -> byModel.put(modelOf(line.name()), line));
        byModel.asMap().forEach((model, versionLines) -> {
            if (versionLines.stream().allMatch(line -> stateOf(line).isPresent())) {
                checkSumOfShares(
                        model,
                        versionLines.stream().filter(ConsistencyChecker::isOpen).toList());
            }
        });
    }

    private static Optional<VersionState> stateOf(RuleLine line) {
        FaultCollector reportedElsewhere = new FaultCollector();
        return new ValueParser(line, reportedElsewhere).state("state");
    }

    private static boolean isOpen(RuleLine line) {
        return stateOf(line).filter(state -> state == VersionState.OPEN).isPresent();
    }

    private void checkSumOfShares(String model, List<RuleLine> open) {
        if (open.isEmpty()) {
            return;
        }
        FaultCollector reportedElsewhere = new FaultCollector();
        int sum = 0;
        for (RuleLine line : open) {
            Optional<Integer> share =
                    new ValueParser(line, reportedElsewhere).intInRange("share", 0, TOTAL_SHARE_PERCENT);
            if (share.isEmpty()) {
                return;
            }
            sum += share.get();
        }
        if (sum != TOTAL_SHARE_PERCENT) {
            RuleLine last = Iterables.getLast(open);
            int column = last.word("share").map(RuleWord::column).orElse(last.nameColumn());
            String problem = "shares of the open versions of model '" + model + "' add up to " + sum;
            faults.add(last.number(), column, problem, "a sum of " + TOTAL_SHARE_PERCENT);
        }
    }

    private void checkUnique(RuleKind kind, String key, Function<String, String> normalize) {
        Map<String, RuleLine> seen = new HashMap<>();
        linesOf(kind).forEach(line -> line.word(key)
                .filter(word -> !word.value().isEmpty())
                .ifPresent(word -> {
                    RuleLine first = seen.putIfAbsent(normalize.apply(word.value()), line);
                    if (first != null) {
                        String problem = "same " + key + " as " + first.qualifiedName() + " on line " + first.number();
                        faults.add(line.number(), word.valueColumn(), problem, "a unique " + key);
                    }
                }));
    }

    private static String normalizedAddress(String text) {
        try {
            HostAndPort address = HostAndPort.fromString(text);
            return InetAddresses.forString(address.getHost()) + ":" + address.getPortOrDefault(0);
        } catch (IllegalArgumentException e) {
            return text;
        }
    }

    private void checkReferences(RuleKind kind, String key, String what, ImmutableSet<String> known) {
        FaultCollector reportedElsewhere = new FaultCollector();
        linesOf(kind).forEach(line -> {
            for (RuleWord item : new ValueParser(line, reportedElsewhere).items(key)) {
                if (!known.contains(item.key())) {
                    faults.addUnknown(line.number(), item.column(), what, item.key(), known);
                }
            }
        });
    }
}
