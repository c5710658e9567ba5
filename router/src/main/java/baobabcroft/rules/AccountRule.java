package baobabcroft.rules;

import java.util.Set;

/**
 * A client account: its key, its permissions and its limits.
 *
 * @param name the account's name, unique in a rules file
 * @param keySha256Hex SHA-256 of the account's bearer key, as 64 lower-case hexadecimal digits
 * @param allowed models, versions, cascades, services and operations it may use, as {@code model}, {@code
 *     model@version}, {@code cascade}, {@code service} or {@code service/operation}
 * @param priority priority of the account's requests, from 0 to 9; under overload, higher values are served first
 * @param requestsPerSecond maximum requests started per second, over all instances
 * @param tokensPerMinute maximum tokens generated per minute, over all instances
 * @param maxConcurrent maximum concurrent requests, over all instances
 */
public record AccountRule(
        String name,
        String keySha256Hex,
        Set<String> allowed,
        int priority,
        long requestsPerSecond,
        long tokensPerMinute,
        int maxConcurrent) {
    /** Makes an immutable copy of the allowed names. */
    public AccountRule {
        allowed = Set.copyOf(allowed);
    }

    /**
     * Returns whether the account may use a model version.
     *
     * @param id the version
     * @return true if the version or its model is allowed
     */
    public boolean allows(VersionId id) {
        return allowed.contains(id.model()) || allowed.contains(id.toString());
    }

    /**
     * Returns whether the account may use an operation.
     *
     * @param operation the operation
     * @return true if the operation or its service is allowed
     */
    public boolean allows(OperationRule operation) {
        return allowed.contains(operation.service()) || allowed.contains(operation.fullName());
    }

    /**
     * Returns whether the account may name a cascade in a request. The cascade's models must be allowed as well; this
     * method does not check them.
     *
     * @param cascade the cascade
     * @return true if the cascade's name is allowed
     */
    public boolean allows(CascadeRule cascade) {
        return allowed.contains(cascade.name());
    }
}
