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

/** Finds the models and versions that an account may use under a name. Pure; thread-safe. */
final class ModelTargets {
    private final VersionChooser chooser;

    ModelTargets(VersionChooser chooser) {
        this.chooser = checkNotNull(chooser);
    }

    /** Returns the models that a name stands for, cheapest first; one unless the name is a cascade's. */
    ImmutableList<String> models(String name, AccountRule account, RuleSet rules) {
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

    /** Returns the version that a request without a session runs on, or that a new session is to keep. */
    VersionId choose(String model, String assignmentKey, AccountRule account, RuleSet rules) {
        ImmutableList<VersionRule> allowed = rules.versionsOf(model).stream()
                .filter(version -> account.allows(version.id()))
                .collect(ImmutableList.toImmutableList());
        requireAllowed(!allowed.isEmpty(), account, model);
        List<VersionRule> open = allowed.stream()
                .filter(version -> version.state() == VersionState.OPEN)
                .toList();
        return chooser.choose(open, assignmentKey)
                .orElseThrow(() -> RouterException.notRun(
                        ErrorCode.VERSION_WITHDRAWN, "no version of " + model + " takes new sessions"));
    }

    /** Returns a version that the caller named, if it may run now. */
    VersionRule explicit(VersionId id, AccountRule account, RuleSet rules) {
        VersionRule version = usable(id, account, rules);
        if (version.state() == VersionState.CLOSED) {
            throw RouterException.notRun(
                    ErrorCode.VERSION_WITHDRAWN, "version " + id + " takes only the sessions that keep it");
        }
        return version;
    }

    /** Returns the rule of a version that may run now, also for a session that keeps it. */
    VersionRule usable(VersionId id, AccountRule account, RuleSet rules) {
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
