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
 * Takes a chat request to an engine and its answer, whole or streamed, back to the caller.
 *
 * <p>A cascade's whole answer may be rated and, if it is short, replaced by a dearer model's; a streamed one cannot be
 * taken back, so where the policy would escalate, it starts at the next model. Thread-safe.
 */
final class ChatFlow {
    private static final long DEFAULT_TOKENS = 256;
    private static final int STATUS_OK = 200;

    private final ActiveRules rulesInForce;
    private final ModelTargets targets;
    private final ChatSender sender;
    private final ChatAnswers answers;
    private final CascadeEvaluator cascades;
    private final ChargeRecorder charges;
    private final AccountGate accountGate;
    private final Ticker ticker;

    private ChatFlow(GatewayDependencies parts, Dispatcher dispatcher, AccountGate accountGate) {
        this.rulesInForce = parts.rulesInForce();
        this.targets = new ModelTargets(parts.versionChooser());
        this.sender = new ChatSender(targets, parts.sessions(), dispatcher);
        this.answers = new ChatAnswers(parts.charges(), parts.ticker(), parts.system());
        this.cascades = parts.cascades();
        this.charges = parts.charges();
        this.accountGate = checkNotNull(accountGate);
        this.ticker = parts.ticker();
    }

    /** Returns a flow that sends through the given dispatcher. */
    static ChatFlow create(GatewayDependencies parts, Dispatcher dispatcher, AccountGate accountGate) {
        return new ChatFlow(parts, dispatcher, accountGate);
    }

    /** Returns the answer, or fails with the refusal. */
    CompletionStage<CallerAnswer> run(CallerRequest caller, byte[] bytes) {
        ChatBody body = ChatBody.parse(bytes);
        charges.requireAvailable();
        RuleSet rules = rulesInForce
                .forNewRequests()
                .orElseThrow(() -> RouterException.notRun(
                        ErrorCode.CONFIG_STALE, "this instance is not certain of the configuration in force"))
                .rules();
        ImmutableList<String> models = targets.models(body.model(), caller.account(), rules);
        LimitReservation usage = accountGate.enter(caller, body.tokenBound().orElse(DEFAULT_TOKENS));
        ChatRun run = new ChatRun(caller, body, usage);
        CompletionStage<CallerAnswer> answer;
        try {
            answer = rules.cascade(body.model())
                    .map(cascade -> runCascade(run, cascade, rules))
                    .orElseGet(() -> runModel(run, models.get(0), rules));
        } catch (RouterException refusal) {
            usage.release(0);
            throw refusal;
        }
        return answer.whenComplete((done, failure) -> {
            if (failure != null) {
                usage.release(0);
            }
        });
    }

    private CompletionStage<CallerAnswer> runModel(ChatRun run, String model, RuleSet rules) {
        return sender.send(run, model, rules).thenCompose(delivery -> {
            if (delivery.response().status().intValue() != STATUS_OK) {
                return answers.relayRefusal(run, delivery);
            }
            if (run.body().stream()) {
                return CompletableFuture.completedFuture(answers.streamed(run, delivery));
            }
            return answers.draft(run, delivery).thenCompose(draft -> {
                if (cascades.samplePlainAnswer(draft.version(), rules)) {
                    cascades.rate(run, draft, kind(run), 0);
                }
                return answers.release(run, draft);
            });
        });
    }

    private static RequestKind kind(ChatRun run) {
        return RequestKind.of(
                run.caller().account().name(), run.body().model(), run.body().promptTokens());
    }

    private CompletionStage<CallerAnswer> runCascade(ChatRun run, CascadeRule cascade, RuleSet rules) {
        ImmutableList<VersionId> versions = cascade.models().stream()
                .map(model -> targets.choose(
                        model, run.caller().assignmentKey(), run.caller().account(), rules))
                .collect(ImmutableList.toImmutableList());
        CascadeChoice choice = cascades.choose(versions, kind(run), cascade.qualityTarget(), rules);
        if (run.body().stream()) {
            int step = choice.escalateBelow() > 0 ? choice.step() + 1 : choice.step();
            return runModel(run, cascade.models().get(Math.min(step, versions.size() - 1)), rules);
        }
        return new CascadeRun(run, cascade, rules, choice).step(choice.step());
    }

    /** One request's way through the models of a cascade. */
    private final class CascadeRun {
        private final ChatRun run;
        private final CascadeRule cascade;
        private final RuleSet rules;
        private final CascadeChoice choice;

        CascadeRun(ChatRun run, CascadeRule cascade, RuleSet rules, CascadeChoice choice) {
            this.run = run;
            this.cascade = cascade;
            this.rules = rules;
            this.choice = choice;
        }

        CompletionStage<CallerAnswer> step(int step) {
            return sender.send(run, cascade.models().get(step), rules).thenCompose(delivery -> {
                if (delivery.response().status().intValue() != STATUS_OK) {
                    return answers.relayRefusal(run, delivery);
                }
                return answers.draft(run, delivery).thenCompose(draft -> judge(step, draft));
            });
        }

        private CompletionStage<CallerAnswer> judge(int step, ChatDraft draft) {
            if (!choice.rate()) {
                return answers.release(run, draft);
            }
            CompletionStage<OptionalDouble> rating = cascades.rate(run, draft, kind(run), cascade.qualityTarget());
            if (choice.escalateBelow() <= 0) {
                return answers.release(run, draft);
            }
            return rating.thenCompose(score -> {
                OptionalInt next = nextStep(step, score);
                return next.isPresent() ? escalate(next.getAsInt(), draft) : answers.release(run, draft);
            });
        }

        private OptionalInt nextStep(int step, OptionalDouble score) {
            if (score.isEmpty()) {
                return OptionalInt.empty();
            }
            long remainingMillis = run.caller().remainingMillis(ticker.read());
            return choice.escalate(step, cascade.models().size(), score.getAsDouble(), remainingMillis, 0);
        }

        /** Asks a dearer model; if that fails, the earlier answer still stands. */
        private CompletionStage<CallerAnswer> escalate(int step, ChatDraft earlier) {
            return sender.send(run, cascade.models().get(step), rules)
                    .thenCompose(delivery -> answers.draft(run, delivery))
                    .handle((later, failure) ->
                            failure == null ? Optional.of(later.after(earlier)) : Optional.<ChatDraft>empty())
                    .thenCompose(
                            better -> better.isPresent() ? judge(step, better.get()) : answers.release(run, earlier));
        }
    }
}
