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

    private final String word;
    private final ImmutableSet<String> requiredKeys;
    private final ImmutableSet<String> keys;

    RuleKind(String word, Set<String> requiredKeys, Set<String> optionalKeys) {
        this.word = word;
        this.requiredKeys = sorted(requiredKeys);
        ImmutableSet.Builder<String> all = ImmutableSet.builder();
        this.keys = all.addAll(this.requiredKeys).addAll(sorted(optionalKeys)).build();
    }

    private static ImmutableSet<String> sorted(Set<String> words) {
        return words.stream().sorted().collect(ImmutableSet.toImmutableSet());
    }

    static Optional<RuleKind> of(String word) {
        return Arrays.stream(values()).filter(kind -> kind.word.equals(word)).findFirst();
    }

    static ImmutableSet<String> words() {
        return Arrays.stream(values()).map(RuleKind::word).collect(ImmutableSet.toImmutableSet());
    }

    String word() {
        return word;
    }

    ImmutableSet<String> requiredKeys() {
        return requiredKeys;
    }

    ImmutableSet<String> keys() {
        return keys;
    }
}
