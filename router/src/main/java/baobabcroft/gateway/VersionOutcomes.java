package baobabcroft.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.rollout.AnswerOutcome;
import baobabcroft.rules.VersionId;
import java.util.function.BiConsumer;

/** Tells how versions answer, as evidence for or against them. Operations of plain services are left out. */
final class VersionOutcomes {
    private final BiConsumer<VersionId, AnswerOutcome> observer;

    VersionOutcomes(BiConsumer<VersionId, AnswerOutcome> observer) {
        this.observer = checkNotNull(observer);
    }

    /** Notes a whole answer. */
    void succeeded(Target target, boolean slow) {
        note(target, new AnswerOutcome(false, slow));
    }

    /** Notes an answer that failed or was not valid. */
    void failed(Target target) {
        note(target, new AnswerOutcome(true, false));
    }

    private void note(Target target, AnswerOutcome outcome) {
        VersionId.parse(target.name()).ifPresent(version -> observer.accept(version, outcome));
    }
}
