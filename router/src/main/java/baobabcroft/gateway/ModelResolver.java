package baobabcroft.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.common.ErrorCode;
import baobabcroft.common.RouterException;
import baobabcroft.rules.AccountRule;
import baobabcroft.rules.CascadeRule;
import baobabcroft.rules.RuleSet;
import baobabcroft.rules.VersionId;
import baobabcroft.rules.VersionRule;
import baobabcroft.rules.VersionState;
import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;

/** Resolves a requested name to the models and versions that the account may use. Stateless; thread-safe. */
final class ModelResolver {
    private final VersionChooser versionChooser;

    ModelResolver(VersionChooser versionChooser) {
        this.versionChooser = checkNotNull(versionChooser);
    }

    /** Returns the models of a cascade from cheapest to most expensive, or the single model of any other name. */
    ImmutableList<String> resolveModels(String name, AccountRule account, RuleSet rules) {
        Optional<CascadeRule> cascade = rules.cascade(name);
        if (cascade.isPresent()) {
            requireAllowed(account.allows(cascade.get()), account, name);
            return ImmutableList.copyOf(cascade.get().models());
        }
        Optional<VersionId> version = VersionId.parse(name);
        String model = version.map(VersionId::model).orElse(name);
        if (rules.versionsOf(model).isEmpty()) {
            throw RouterException.notRun(ErrorCode.UNKNOWN_MODEL, "no model or cascade is named '" + name + "'");
        }
        return ImmutableList.of(model);
    }

    /** Chooses a version for a new session or for a request without a session. */
    VersionId chooseVersion(String model, String assignmentKey, AccountRule account, RuleSet rules) {
        ImmutableList<VersionRule> allowed = rules.versionsOf(model).stream()
                .filter(version -> account.allows(version.id()))
                .collect(ImmutableList.toImmutableList());
        requireAllowed(!allowed.isEmpty(), account, model);
        List<VersionRule> open = allowed.stream()
                .filter(version -> version.state() == VersionState.OPEN)
                .toList();
        return versionChooser
                .choose(open, assignmentKey)
                .orElseThrow(() -> RouterException.notRun(
                        ErrorCode.VERSION_WITHDRAWN, "no version of " + model + " accepts new sessions"));
    }

    /** Returns the rule of an explicitly requested version, which must not be closed or withdrawn. */
    VersionRule explicitVersion(VersionId id, AccountRule account, RuleSet rules) {
        VersionRule version = usableVersion(id, account, rules);
        if (version.state() == VersionState.CLOSED) {
            throw RouterException.notRun(ErrorCode.VERSION_WITHDRAWN, "version " + id + " is closed to new sessions");
        }
        return version;
    }

    /** Returns the rule of a version, which must not be withdrawn. Sessions may keep a closed version. */
    VersionRule usableVersion(VersionId id, AccountRule account, RuleSet rules) {
        VersionRule version = rules.version(id)
                .orElseThrow(() -> RouterException.notRun(ErrorCode.UNKNOWN_MODEL, "no version is named '" + id + "'"));
        requireAllowed(account.allows(id), account, id.toString());
        if (version.state() == VersionState.WITHDRAWN) {
            throw RouterException.notRun(ErrorCode.VERSION_WITHDRAWN, "version " + id + " is withdrawn");
        }
        return version;
    }

    private static void requireAllowed(boolean allowed, AccountRule account, String name) {
        if (!allowed) {
            throw RouterException.notRun(ErrorCode.NOT_ALLOWED, "account " + account.name() + " may not use " + name);
        }
    }
}
