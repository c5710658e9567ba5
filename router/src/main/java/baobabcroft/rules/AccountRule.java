package baobabcroft.rules;

import java.util.Set;

/**
 * A client account: its key, what it may use and its limits.
 *
 * @param name the account's name
 * @param keySha256Hex SHA-256 of the account's bearer key, in lower-case hexadecimal
 * @param allowed models, versions, cascades, services and operations it may use, as {@code model}, {@code
 *     model@version}, {@code cascade}, {@code service} or {@code service/operation}
 * @param priority class of the account's requests; a greater one is served first when load is shed
 * @param requestsPerSecond requests that it may start in a second, on all instances together
 * @param tokensPerMinute tokens that may be generated for it in a minute, on all instances together
 * @param maxConcurrent requests that may run for it at once, on all instances together
 */
public record AccountRule(
        String name,
        String keySha256Hex,
        Set<String> allowed,
        int priority,
        long requestsPerSecond,
        long tokensPerMinute,
        int maxConcurrent) {
    /** Copies what is allowed. */
    public AccountRule {
        allowed = Set.copyOf(allowed);
    }

    /**
     * Returns whether the account may use a version.
     *
     * @param id the version
     * @return whether its model or the version itself is allowed
     */
    public boolean allows(VersionId id) {
        return allowed.contains(id.model()) || allowed.contains(id.toString());
    }

    /**
     * Returns whether the account may use an operation.
     *
     * @param operation the operation
     * @return whether its service or the operation itself is allowed
     */
    public boolean allows(OperationRule operation) {
        return allowed.contains(operation.service()) || allowed.contains(operation.fullName());
    }

    /**
     * Returns whether the account may call a cascade by its name.
     *
     * @param cascade the cascade
     * @return whether its name is allowed; its models must be allowed too
     */
    public boolean allows(CascadeRule cascade) {
        return allowed.contains(cascade.name());
    }
}
