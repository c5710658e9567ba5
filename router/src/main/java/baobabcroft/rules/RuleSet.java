package baobabcroft.rules;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The validated rules of one configuration.
 *
 * <p>Immutable and thread-safe. Lookups of a single rule by name or key take at most logarithmic time.
 */
public final class RuleSet {
    private final ImmutableSortedMap<String, FailureDomainRule> failureDomains;
    private final ImmutableSortedMap<String, AccountRule> accounts;
    private final ImmutableSortedMap<VersionId, VersionRule> versions;
    private final ImmutableSortedMap<String, CascadeRule> cascades;
    private final ImmutableSortedMap<String, OperationRule> operations;
    private final ImmutableSortedMap<String, EndpointRule> endpoints;
    private final ImmutableMap<String, AccountRule> accountsByKey;
    private final ImmutableMap<String, ImmutableList<VersionRule>> versionsByModel;

    private RuleSet(Builder builder) {
        this.failureDomains = ImmutableSortedMap.copyOf(builder.failureDomains);
        this.accounts = ImmutableSortedMap.copyOf(builder.accounts);
        this.versions = ImmutableSortedMap.copyOf(builder.versions);
        this.cascades = ImmutableSortedMap.copyOf(builder.cascades);
        this.operations = ImmutableSortedMap.copyOf(builder.operations);
        this.endpoints = ImmutableSortedMap.copyOf(builder.endpoints);
        this.accountsByKey = indexByKey(accounts);
        this.versionsByModel = indexByModel(versions);
    }

    private static ImmutableMap<String, AccountRule> indexByKey(Map<String, AccountRule> accounts) {
        ImmutableMap.Builder<String, AccountRule> byKey = ImmutableMap.builder();
        accounts.values().forEach(account -> byKey.put(account.keySha256Hex(), account));
        return byKey.buildOrThrow();
    }

    private static ImmutableMap<String, ImmutableList<VersionRule>> indexByModel(Map<VersionId, VersionRule> versions) {
        Map<String, List<VersionRule>> byModel = new TreeMap<>();
        versions.forEach((id, rule) ->
                byModel.computeIfAbsent(id.model(), model -> new ArrayList<>()).add(rule));
        ImmutableMap.Builder<String, ImmutableList<VersionRule>> copy = ImmutableMap.builder();
        byModel.forEach((model, rules) -> copy.put(model, ImmutableList.copyOf(rules)));
        return copy.buildOrThrow();
    }

    /**
     * Returns a new, empty builder.
     *
     * @return the builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Returns the client account whose bearer key has the given hash.
     *
     * @param keySha256Hex SHA-256 of the key, as 64 lower-case hexadecimal digits
     * @return the account, or empty if no account has this key
     */
    public Optional<AccountRule> accountByKeySha256(String keySha256Hex) {
        return Optional.ofNullable(accountsByKey.get(checkNotNull(keySha256Hex)));
    }

    /**
     * Returns the client account with the given name.
     *
     * @param name the account's name
     * @return the account, or empty if there is none
     */
    public Optional<AccountRule> account(String name) {
        return Optional.ofNullable(accounts.get(checkNotNull(name)));
    }

    /**
     * Returns the rule of a model version.
     *
     * @param id the version
     * @return its rule, or empty if there is none
     */
    public Optional<VersionRule> version(VersionId id) {
        return Optional.ofNullable(versions.get(checkNotNull(id)));
    }

    /**
     * Returns the versions of a model, ordered by name.
     *
     * @param model the model's name
     * @return all versions of the model, in any state; empty if there is no such model
     */
    public ImmutableList<VersionRule> versionsOf(String model) {
        return versionsByModel.getOrDefault(checkNotNull(model), ImmutableList.of());
    }

    /**
     * Returns the cascade with the given name.
     *
     * @param name the cascade's name
     * @return the cascade, or empty if there is none
     */
    public Optional<CascadeRule> cascade(String name) {
        return Optional.ofNullable(cascades.get(checkNotNull(name)));
    }

    /**
     * Returns an operation of a service.
     *
     * @param service the service's name
     * @param name the operation's name
     * @return the operation, or empty if there is none
     */
    public Optional<OperationRule> operation(String service, String name) {
        return Optional.ofNullable(operations.get(checkNotNull(service) + "/" + checkNotNull(name)));
    }

    /**
     * Returns the region that a failure domain belongs to.
     *
     * @param failureDomain the failure domain's name
     * @return the region's name, or empty if there is no such failure domain
     */
    public Optional<String> regionOf(String failureDomain) {
        return Optional.ofNullable(failureDomains.get(checkNotNull(failureDomain)))
                .map(FailureDomainRule::region);
    }

    /**
     * Returns the endpoints that serve a model version, ordered by name. Takes time linear in the number of endpoints.
     *
     * @param id the version
     * @return the endpoints; empty if there are none
     */
    public ImmutableList<EndpointRule> endpointsFor(VersionId id) {
        checkNotNull(id);
        return endpoints.values().stream()
                .filter(endpoint -> endpoint.versions().contains(id))
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * Returns the endpoints that serve a plain service, ordered by name. Takes time linear in the number of endpoints.
     *
     * @param service the service's name
     * @return the endpoints; empty if there are none
     */
    public ImmutableList<EndpointRule> endpointsFor(String service) {
        Optional<String> wanted = Optional.of(service);
        return endpoints.values().stream()
                .filter(endpoint -> endpoint.service().equals(wanted))
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * Returns all failure domains.
     *
     * @return the failure domains by name
     */
    public ImmutableSortedMap<String, FailureDomainRule> failureDomains() {
        return failureDomains;
    }

    /**
     * Returns all client accounts.
     *
     * @return the accounts by name
     */
    public ImmutableSortedMap<String, AccountRule> accounts() {
        return accounts;
    }

    /**
     * Returns all model versions.
     *
     * @return the versions by identifier
     */
    public ImmutableSortedMap<VersionId, VersionRule> versions() {
        return versions;
    }

    /**
     * Returns all cascades.
     *
     * @return the cascades by name
     */
    public ImmutableSortedMap<String, CascadeRule> cascades() {
        return cascades;
    }

    /**
     * Returns all operations.
     *
     * @return the operations by full name, {@code service/name}
     */
    public ImmutableSortedMap<String, OperationRule> operations() {
        return operations;
    }

    /**
     * Returns all endpoints.
     *
     * @return the endpoints by name
     */
    public ImmutableSortedMap<String, EndpointRule> endpoints() {
        return endpoints;
    }

    /**
     * Returns all models that have at least one version.
     *
     * @return the models' names
     */
    public ImmutableSet<String> models() {
        return versionsByModel.keySet();
    }

    /** Builder of a rule set. A rule replaces an earlier one of the same kind and name. Not thread-safe. */
    public static final class Builder {
        private final Map<String, FailureDomainRule> failureDomains = new TreeMap<>();
        private final Map<String, AccountRule> accounts = new TreeMap<>();
        private final Map<VersionId, VersionRule> versions = new TreeMap<>();
        private final Map<String, CascadeRule> cascades = new TreeMap<>();
        private final Map<String, OperationRule> operations = new TreeMap<>();
        private final Map<String, EndpointRule> endpoints = new TreeMap<>();

        private Builder() {}

        /**
         * Adds a failure domain.
         *
         * @param rule the rule to add
         * @return this builder
         */
        public Builder add(FailureDomainRule rule) {
            failureDomains.put(rule.name(), rule);
            return this;
        }

        /**
         * Adds a client account.
         *
         * @param rule the rule to add
         * @return this builder
         */
        public Builder add(AccountRule rule) {
            accounts.put(rule.name(), rule);
            return this;
        }

        /**
         * Adds a model version.
         *
         * @param rule the rule to add
         * @return this builder
         */
        public Builder add(VersionRule rule) {
            versions.put(rule.id(), rule);
            return this;
        }

        /**
         * Adds a cascade.
         *
         * @param rule the rule to add
         * @return this builder
         */
        public Builder add(CascadeRule rule) {
            cascades.put(rule.name(), rule);
            return this;
        }

        /**
         * Adds an operation.
         *
         * @param rule the rule to add
         * @return this builder
         */
        public Builder add(OperationRule rule) {
            operations.put(rule.fullName(), rule);
            return this;
        }

        /**
         * Adds an endpoint.
         *
         * @param rule the rule to add
         * @return this builder
         */
        public Builder add(EndpointRule rule) {
            endpoints.put(rule.name(), rule);
            return this;
        }

        /**
         * Returns a rule set with the rules added so far.
         *
         * @return the immutable rule set
         * @throws IllegalArgumentException if two accounts have the same key
         */
        public RuleSet build() {
            return new RuleSet(this);
        }
    }
}
