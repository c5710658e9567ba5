package baobabcroft.rules;

import com.google.common.collect.ImmutableSet;
import java.util.Arrays;
import java.util.Optional;
import java.util.Set;

/** The kinds of rules, with their keywords in the rules file and the keys that each accepts. */
enum RuleKind {
    FAILURE_DOMAIN("failure-domain", Set.of("region"), Set.of()),
    ACCOUNT(
            "account",
            Set.of("key-sha256", "allow"),
            Set.of("priority", "requests-per-second", "tokens-per-minute", "max-concurrent")),
    VERSION("version", Set.of("state", "price", "quality"), Set.of("share", "automatic-stop")),
    CASCADE("cascade", Set.of("models", "quality-target"), Set.of()),
    OPERATION("operation", Set.of("idempotent", "price", "timeout"), Set.of()),
    ENDPOINT(
            "endpoint",
            Set.of("address", "failure-domain", "max-concurrent"),
            Set.of("versions", "service", "checks-fencing"));

    private final String keyword;
    private final ImmutableSet<String> requiredKeys;
    private final ImmutableSet<String> keys;

    RuleKind(String keyword, Set<String> requiredKeys, Set<String> optionalKeys) {
        this.keyword = keyword;
        this.requiredKeys = sorted(requiredKeys);
        ImmutableSet.Builder<String> all = ImmutableSet.builder();
        this.keys = all.addAll(this.requiredKeys).addAll(sorted(optionalKeys)).build();
    }

    private static ImmutableSet<String> sorted(Set<String> keys) {
        return keys.stream().sorted().collect(ImmutableSet.toImmutableSet());
    }

    static Optional<RuleKind> of(String keyword) {
        return Arrays.stream(values())
                .filter(kind -> kind.keyword.equals(keyword))
                .findFirst();
    }

    static ImmutableSet<String> keywords() {
        return Arrays.stream(values()).map(RuleKind::keyword).collect(ImmutableSet.toImmutableSet());
    }

    String keyword() {
        return keyword;
    }

    ImmutableSet<String> requiredKeys() {
        return requiredKeys;
    }

    ImmutableSet<String> keys() {
        return keys;
    }
}
