package baobabcroft.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.rollout.AnswerOutcome;
import baobabcroft.rules.VersionId;
import java.util.function.BiConsumer;

/** Reports the outcomes of chat responses as roll-out evidence on their versions. Ignores plain services. */
final class VersionOutcomeReporter {
    private final BiConsumer<VersionId, AnswerOutcome> observer;

    VersionOutcomeReporter(BiConsumer<VersionId, AnswerOutcome> observer) {
        this.observer = checkNotNull(observer);
    }

    /** Reports a complete response, and whether it missed its deadline. */
    void reportSuccess(Target target, boolean slow) {
        report(target, new AnswerOutcome(false, slow));
    }

    /** Reports a failed or invalid response. */
    void reportFailure(Target target) {
        report(target, new AnswerOutcome(true, false));
    }

    private void report(Target target, AnswerOutcome outcome) {
        VersionId.parse(target.name()).ifPresent(version -> observer.accept(version, outcome));
    }
}
