package baobabcroft.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.common.ErrorCode;
import baobabcroft.common.RouterException;
import baobabcroft.rules.RuleSet;
import baobabcroft.rules.VersionId;
import baobabcroft.rules.VersionRule;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.util.ByteString;

/** Finds the version that a chat request runs on and sends it to an engine that serves it. Thread-safe. */
final class ChatSender {
    private static final String ENGINE_PATH = "/v1/chat/completions";

    private final ModelTargets targets;
    private final SessionVersionResolver sessions;
    private final Dispatcher dispatcher;

    ChatSender(ModelTargets targets, SessionVersionResolver sessions, Dispatcher dispatcher) {
        this.targets = checkNotNull(targets);
        this.sessions = checkNotNull(sessions);
        this.dispatcher = checkNotNull(dispatcher);
    }

    /** Returns the answer of an engine of the model, or fails with the refusal and its verdict. */
    CompletionStage<Delivery> send(ChatRun run, String model, RuleSet rules) {
        return keptVersion(run, model, rules)
                .thenCompose(kept -> dispatcher.dispatch(new Order(
                        run.caller(),
                        run.body().digest(),
                        true,
                        OptionalLong.of(run.body().prefixDigest()),
                        run.body().tokenBound(),
                        snapshot -> target(run, model, kept, snapshot),
                        SendPermit.ALWAYS,
                        Long.MAX_VALUE)));
    }

    private CompletionStage<Optional<VersionId>> keptVersion(ChatRun run, String model, RuleSet rules) {
        CallerRequest caller = run.caller();
        if (caller.session().isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return sessions.versionOf(
                        caller.account().name(),
                        caller.session().get(),
                        model,
                        () -> choose(run, model, rules),
                        rules.versionsOf(model).size() == 1)
                .thenApply(kept -> Optional.of(requireSame(kept, run.explicitVersion())));
    }

    private VersionId choose(ChatRun run, String model, RuleSet rules) {
        return run.explicitVersion()
                .map(version ->
                        targets.explicit(version, run.caller().account(), rules).id())
                .orElseGet(() -> targets.choose(
                        model, run.caller().assignmentKey(), run.caller().account(), rules));
    }

    private static VersionId requireSame(VersionId kept, Optional<VersionId> explicit) {
        if (explicit.isPresent() && !explicit.get().equals(kept)) {
            throw RouterException.notRun(
                    ErrorCode.NOT_ALLOWED,
                    "the session keeps version " + kept + " and cannot run on " + explicit.get());
        }
        return kept;
    }

    private Target target(ChatRun run, String model, Optional<VersionId> kept, RulesSnapshot snapshot) {
        RuleSet rules = snapshot.rules();
        VersionId id = kept.orElseGet(() -> choose(run, model, rules));
        VersionRule version = targets.usable(id, run.caller().account(), rules);
        String name = version.id().toString();
        HttpRequest request = HttpRequest.POST(ENGINE_PATH)
                .withEntity(HttpEntities.create(
                        ContentTypes.APPLICATION_JSON,
                        ByteString.fromArray(run.body().forEngine(name))));
        return new Target(
                name, version.priceMicrosPerThousandTokens(), rules.endpointsFor(version.id()), endpoint -> request);
    }
}
