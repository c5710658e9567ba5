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

/** Chooses the version for a chat request and sends the request to an engine that serves it. Thread-safe. */
final class ChatSender {
    private static final String ENGINE_PATH = "/v1/chat/completions";

    private final ModelResolver modelResolver;
    private final SessionVersionResolver sessionVersions;
    private final Dispatcher dispatcher;

    ChatSender(ModelResolver modelResolver, SessionVersionResolver sessionVersions, Dispatcher dispatcher) {
        this.modelResolver = checkNotNull(modelResolver);
        this.sessionVersions = checkNotNull(sessionVersions);
        this.dispatcher = checkNotNull(dispatcher);
    }

    /** Returns the response of an engine that serves the model, or fails with a {@link RouterException}. */
    CompletionStage<EndpointResponse> send(ChatContext context, String model, RuleSet rules) {
        return sessionVersion(context, model, rules)
                .thenCompose(pinned -> dispatcher.dispatch(new DispatchRequest(
                        context.caller(),
                        context.body().digest(),
                        true,
                        OptionalLong.of(context.body().prefixDigest()),
                        context.body().maxTokens(),
                        snapshot -> resolveTarget(context, model, pinned, snapshot),
                        SendPermit.ALWAYS,
                        Long.MAX_VALUE)));
    }

    private CompletionStage<Optional<VersionId>> sessionVersion(ChatContext context, String model, RuleSet rules) {
        CallerRequest caller = context.caller();
        if (caller.session().isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return sessionVersions
                .versionOf(
                        caller.account().name(),
                        caller.session().get(),
                        model,
                        () -> chooseVersion(context, model, rules),
                        rules.versionsOf(model).size() == 1)
                .thenApply(pinned -> Optional.of(requirePinnedVersion(pinned, context.requestedVersion())));
    }

    private VersionId chooseVersion(ChatContext context, String model, RuleSet rules) {
        return context.requestedVersion()
                .map(version -> modelResolver
                        .explicitVersion(version, context.caller().account(), rules)
                        .id())
                .orElseGet(() -> modelResolver.chooseVersion(
                        model,
                        context.caller().assignmentKey(),
                        context.caller().account(),
                        rules));
    }

    private static VersionId requirePinnedVersion(VersionId pinned, Optional<VersionId> requested) {
        if (requested.isPresent() && !requested.get().equals(pinned)) {
            throw RouterException.notRun(
                    ErrorCode.NOT_ALLOWED,
                    "the session is pinned to version " + pinned + " and cannot use version " + requested.get());
        }
        return pinned;
    }

    private Target resolveTarget(
            ChatContext context, String model, Optional<VersionId> pinned, RulesSnapshot snapshot) {
        RuleSet rules = snapshot.rules();
        VersionId id = pinned.orElseGet(() -> chooseVersion(context, model, rules));
        VersionRule version = modelResolver.usableVersion(id, context.caller().account(), rules);
        String name = version.id().toString();
        HttpRequest request = HttpRequest.POST(ENGINE_PATH)
                .withEntity(HttpEntities.create(
                        ContentTypes.APPLICATION_JSON,
                        ByteString.fromArray(context.body().toEngineJson(name))));
        return new Target(
                name, version.priceMicrosPerThousandTokens(), rules.endpointsFor(version.id()), endpoint -> request);
    }
}
