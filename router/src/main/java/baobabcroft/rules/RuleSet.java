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
 * The rules that one version of the configuration holds, checked as a whole.
 *
 * <p>Immutable and thread-safe. Lookups by name take constant time.
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
     * Returns a new builder with no rules.
     *
     * @return the builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Returns the account whose bearer key has the given hash.
     *
     * @param keySha256Hex SHA-256 of the key, in lower-case hexadecimal
     * @return the account, if one has this key
     */
    public Optional<AccountRule> accountByKeySha256(String keySha256Hex) {
        return Optional.ofNullable(accountsByKey.get(checkNotNull(keySha256Hex)));
    }

    /**
     * Returns the account of the given name.
     *
     * @param name the account's name
     * @return the account, if there is one
     */
    public Optional<AccountRule> account(String name) {
        return Optional.ofNullable(accounts.get(checkNotNull(name)));
    }

    /**
     * Returns the rule of a version.
     *
     * @param id the version
     * @return its rule, if there is one
     */
    public Optional<VersionRule> version(VersionId id) {
        return Optional.ofNullable(versions.get(checkNotNull(id)));
    }

    /**
     * Returns the versions of a model, in the order of their names.
     *
     * @param model the model's name
     * @return all its versions whatever their state; empty if there is no such model
     */
    public ImmutableList<VersionRule> versionsOf(String model) {
        return versionsByModel.getOrDefault(checkNotNull(model), ImmutableList.of());
    }

    /**
     * Returns the cascade of the given name.
     *
     * @param name the cascade's name
     * @return the cascade, if there is one
     */
    public Optional<CascadeRule> cascade(String name) {
        return Optional.ofNullable(cascades.get(checkNotNull(name)));
    }

    /**
     * Returns an operation of a service.
     *
     * @param service the service's name
     * @param name the operation's name
     * @return the operation, if there is one
     */
    public Optional<OperationRule> operation(String service, String name) {
        return Optional.ofNullable(operations.get(checkNotNull(service) + "/" + checkNotNull(name)));
    }

    /**
     * Returns the region that a failure domain lies in.
     *
     * @param failureDomain the failure domain's name
     * @return its region, if there is such a failure domain
     */
    public Optional<String> regionOf(String failureDomain) {
        return Optional.ofNullable(failureDomains.get(checkNotNull(failureDomain)))
                .map(FailureDomainRule::region);
    }

    /**
     * Returns the endpoints that serve a version, in the order of their names.
     *
     * @param id the version
     * @return the endpoints; empty if there is none
     */
    public ImmutableList<EndpointRule> endpointsFor(VersionId id) {
        checkNotNull(id);
        return endpoints.values().stream()
                .filter(endpoint -> endpoint.versions().contains(id))
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * Returns the endpoints that serve a plain service, in the order of their names.
     *
     * @param service the service's name
     * @return the endpoints; empty if there is none
     */
    public ImmutableList<EndpointRule> endpointsFor(String service) {
        Optional<String> wanted = Optional.of(service);
        return endpoints.values().stream()
                .filter(endpoint -> endpoint.service().equals(wanted))
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * Returns all failure domains by name.
     *
     * @return the failure domains
     */
    public ImmutableSortedMap<String, FailureDomainRule> failureDomains() {
        return failureDomains;
    }

    /**
     * Returns all accounts by name.
     *
     * @return the accounts
     */
    public ImmutableSortedMap<String, AccountRule> accounts() {
        return accounts;
    }

    /**
     * Returns all versions.
     *
     * @return the versions
     */
    public ImmutableSortedMap<VersionId, VersionRule> versions() {
        return versions;
    }

    /**
     * Returns all cascades by name.
     *
     * @return the cascades
     */
    public ImmutableSortedMap<String, CascadeRule> cascades() {
        return cascades;
    }

    /**
     * Returns all operations by their full names.
     *
     * @return the operations
     */
    public ImmutableSortedMap<String, OperationRule> operations() {
        return operations;
    }

    /**
     * Returns all endpoints by name.
     *
     * @return the endpoints
     */
    public ImmutableSortedMap<String, EndpointRule> endpoints() {
        return endpoints;
    }

    /**
     * Returns the names of all models that have a version.
     *
     * @return the models
     */
    public ImmutableSet<String> models() {
        return versionsByModel.keySet();
    }

    /** Collects rules. A second rule of the same kind and name replaces the first. Not thread-safe. */
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
         * @param rule the rule
         * @return this builder
         */
        public Builder add(FailureDomainRule rule) {
            failureDomains.put(rule.name(), rule);
            return this;
        }

        /**
         * Adds an account.
         *
         * @param rule the rule
         * @return this builder
         */
        public Builder add(AccountRule rule) {
            accounts.put(rule.name(), rule);
            return this;
        }

        /**
         * Adds a version.
         *
         * @param rule the rule
         * @return this builder
         */
        public Builder add(VersionRule rule) {
            versions.put(rule.id(), rule);
            return this;
        }

        /**
         * Adds a cascade.
         *
         * @param rule the rule
         * @return this builder
         */
        public Builder add(CascadeRule rule) {
            cascades.put(rule.name(), rule);
            return this;
        }

        /**
         * Adds an operation.
         *
         * @param rule the rule
         * @return this builder
         */
        public Builder add(OperationRule rule) {
            operations.put(rule.fullName(), rule);
            return this;
        }

        /**
         * Adds an endpoint.
         *
         * @param rule the rule
         * @return this builder
         */
        public Builder add(EndpointRule rule) {
            endpoints.put(rule.name(), rule);
            return this;
        }

        /**
         * Returns the rule set.
         *
         * @return an immutable rule set
         * @throws IllegalArgumentException if two accounts have the same key
         */
        public RuleSet build() {
            return new RuleSet(this);
        }
    }
}
