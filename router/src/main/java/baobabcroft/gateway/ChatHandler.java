package baobabcroft.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.cascade.CascadeChoice;
import baobabcroft.cascade.RequestKind;
import baobabcroft.chat.ChatBody;
import baobabcroft.common.ErrorCode;
import baobabcroft.common.RouterException;
import baobabcroft.limit.LimitReservation;
import baobabcroft.rules.CascadeRule;
import baobabcroft.rules.RuleSet;
import baobabcroft.rules.VersionId;
import com.google.common.base.Ticker;
import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/**
 * Handles chat requests: sends them to an engine and returns the response, complete or streamed.
 *
 * <p>A complete response of a cascade may be rated and, if its rating is too low, replaced by that of a more expensive
 * model. A streamed response cannot be replaced, so a streamed request starts at the next model if the policy might
 * escalate. Thread-safe.
 */
final class ChatHandler {
    private static final long DEFAULT_EXPECTED_TOKENS = 256;
    private static final int STATUS_OK = 200;

    private final ActiveRules activeRules;
    private final ModelResolver modelResolver;
    private final ChatSender sender;
    private final ChatResponseHandler responseHandler;
    private final CascadeEvaluator cascades;
    private final ChargeRecorder chargeRecorder;
    private final AccountLimiter accountLimiter;
    private final Ticker ticker;

    private ChatHandler(GatewayDependencies dependencies, Dispatcher dispatcher, AccountLimiter accountLimiter) {
        this.activeRules = dependencies.activeRules();
        this.modelResolver = new ModelResolver(dependencies.versionChooser());
        this.sender = new ChatSender(modelResolver, dependencies.sessionVersions(), dispatcher);
        this.responseHandler =
                new ChatResponseHandler(dependencies.chargeRecorder(), dependencies.ticker(), dependencies.system());
        this.cascades = dependencies.cascades();
        this.chargeRecorder = dependencies.chargeRecorder();
        this.accountLimiter = checkNotNull(accountLimiter);
        this.ticker = dependencies.ticker();
    }

    /** Returns a handler that sends requests through the given dispatcher. */
    static ChatHandler create(GatewayDependencies dependencies, Dispatcher dispatcher, AccountLimiter accountLimiter) {
        return new ChatHandler(dependencies, dispatcher, accountLimiter);
    }

    /** Returns the response, or fails or throws with a {@link RouterException}. */
    CompletionStage<CallerResponse> handle(CallerRequest caller, byte[] bytes) {
        ChatBody body = ChatBody.parse(bytes);
        chargeRecorder.requireAvailable();
        RuleSet rules = activeRules
                .forNewRequests()
                .orElseThrow(() -> RouterException.notRun(
                        ErrorCode.CONFIG_STALE, "this instance cannot confirm that its configuration is current"))
                .rules();
        ImmutableList<String> models = modelResolver.resolveModels(body.model(), caller.account(), rules);
        LimitReservation reservation =
                accountLimiter.admit(caller, body.maxTokens().orElse(DEFAULT_EXPECTED_TOKENS));
        ChatContext context = new ChatContext(caller, body, reservation);
        CompletionStage<CallerResponse> response;
        try {
            response = rules.cascade(body.model())
                    .map(cascade -> runCascade(context, cascade, rules))
                    .orElseGet(() -> runModel(context, models.get(0), rules));
        } catch (RouterException error) {
            reservation.release(0);
            throw error;
        }
        return response.whenComplete((callerResponse, failure) -> {
            if (failure != null) {
                reservation.release(0);
            }
        });
    }

    private CompletionStage<CallerResponse> runModel(ChatContext context, String model, RuleSet rules) {
        return sender.send(context, model, rules).thenCompose(endpointResponse -> {
            if (endpointResponse.response().status().intValue() != STATUS_OK) {
                return responseHandler.relayErrorResponse(context, endpointResponse);
            }
            if (context.body().stream()) {
                return CompletableFuture.completedFuture(responseHandler.streamResponse(context, endpointResponse));
            }
            return responseHandler.readCompletion(context, endpointResponse).thenCompose(pending -> {
                if (cascades.shouldRateNonCascadeResponse(pending.version(), rules)) {
                    cascades.requestRating(context, pending, requestKind(context), 0);
                }
                return responseHandler.chargeAndRelease(context, pending);
            });
        });
    }

    private static RequestKind requestKind(ChatContext context) {
        return RequestKind.of(
                context.caller().account().name(),
                context.body().model(),
                context.body().estimatedPromptTokens());
    }

    private CompletionStage<CallerResponse> runCascade(ChatContext context, CascadeRule cascade, RuleSet rules) {
        ImmutableList<VersionId> versions = cascade.models().stream()
                .map(model -> modelResolver.chooseVersion(
                        model,
                        context.caller().assignmentKey(),
                        context.caller().account(),
                        rules))
                .collect(ImmutableList.toImmutableList());
        CascadeChoice choice = cascades.choose(versions, requestKind(context), cascade.qualityTarget(), rules);
        if (context.body().stream()) {
            int step = choice.escalateBelow() > 0 ? choice.step() + 1 : choice.step();
            return runModel(context, cascade.models().get(Math.min(step, versions.size() - 1)), rules);
        }
        return new CascadeRun(context, cascade, rules, choice).runStep(choice.step());
    }

    /** State of one request that is passed through the models of a cascade. */
    private final class CascadeRun {
        private final ChatContext context;
        private final CascadeRule cascade;
        private final RuleSet rules;
        private final CascadeChoice choice;

        CascadeRun(ChatContext context, CascadeRule cascade, RuleSet rules, CascadeChoice choice) {
            this.context = context;
            this.cascade = cascade;
            this.rules = rules;
            this.choice = choice;
        }

        CompletionStage<CallerResponse> runStep(int step) {
            return sender.send(context, cascade.models().get(step), rules).thenCompose(endpointResponse -> {
                if (endpointResponse.response().status().intValue() != STATUS_OK) {
                    return responseHandler.relayErrorResponse(context, endpointResponse);
                }
                return responseHandler
                        .readCompletion(context, endpointResponse)
                        .thenCompose(pending -> releaseOrEscalate(step, pending));
            });
        }

        private CompletionStage<CallerResponse> releaseOrEscalate(int step, PendingChatResponse pending) {
            if (!choice.rate()) {
                return responseHandler.chargeAndRelease(context, pending);
            }
            CompletionStage<OptionalDouble> rating =
                    cascades.requestRating(context, pending, requestKind(context), cascade.qualityTarget());
            if (choice.escalateBelow() <= 0) {
                return responseHandler.chargeAndRelease(context, pending);
            }
            return rating.thenCompose(score -> {
                OptionalInt next = nextStep(step, score);
                return next.isPresent()
                        ? escalate(next.getAsInt(), pending)
                        : responseHandler.chargeAndRelease(context, pending);
            });
        }

        private OptionalInt nextStep(int step, OptionalDouble score) {
            if (score.isEmpty()) {
                return OptionalInt.empty();
            }
            long remainingMillis = context.caller().remainingMillis(ticker.read());
            return choice.escalate(step, cascade.models().size(), score.getAsDouble(), remainingMillis, 0);
        }

        /** Sends the request to a more expensive model; if that fails, releases the earlier response. */
        private CompletionStage<CallerResponse> escalate(int step, PendingChatResponse earlier) {
            return sender.send(context, cascade.models().get(step), rules)
                    .thenCompose(endpointResponse -> responseHandler.readCompletion(context, endpointResponse))
                    .handle((later, failure) -> failure == null
                            ? Optional.of(later.withCostOf(earlier))
                            : Optional.<PendingChatResponse>empty())
                    .thenCompose(replacement -> replacement.isPresent()
                            ? releaseOrEscalate(step, replacement.get())
                            : responseHandler.chargeAndRelease(context, earlier));
        }
    }
}
