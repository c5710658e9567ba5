package baobabcroft.admin;

import baobabcroft.common.ErrorCode;
import baobabcroft.common.Execution;
import baobabcroft.common.RouterException;
import baobabcroft.rules.RuleFault;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;

/**
 * Body of a refusal, in the manner of RFC 9457.
 *
 * @param title the reason in words
 * @param status the HTTP status
 * @param code the stable code
 * @param execution whether the command may have taken effect
 * @param detail what was wrong
 * @param currentNumber number of the current configuration, for a conflict
 * @param diff lines of the difference from the base to the current configuration, for a conflict
 * @param faults faults of the rules file, if it has any
 */
@JsonInclude(JsonInclude.Include.NON_EMPTY)
public record Problem(
        String title,
        int status,
        String code,
        String execution,
        String detail,
        Optional<Long> currentNumber,
        List<String> diff,
        List<RuleFault> faults) {
    /** Copies the lists; one that is missing is empty. */
    public Problem {
        currentNumber = currentNumber == null ? Optional.empty() : currentNumber;
        diff = diff == null ? ImmutableList.of() : ImmutableList.copyOf(diff);
        faults = faults == null ? ImmutableList.of() : ImmutableList.copyOf(faults);
    }

    static Problem of(RouterException refusal) {
        return of(refusal.code(), refusal.execution(), refusal.getMessage());
    }

    static Problem of(ErrorCode code, Execution execution, String detail) {
        return new Problem(
                code.code().replace('_', ' '),
                code.httpStatus(),
                code.code(),
                execution.wireName(),
                detail,
                Optional.empty(),
                ImmutableList.of(),
                ImmutableList.of());
    }

    static Problem of(ApplyOutcome.Conflict conflict) {
        Problem plain = of(
                ErrorCode.CONFIG_CONFLICT,
                Execution.NOT_RUN,
                "the configuration was changed since; the current one is number " + conflict.currentNumber());
        List<String> lines = conflict.diff().render().lines().toList();
        return new Problem(
                plain.title,
                plain.status,
                plain.code,
                plain.execution,
                plain.detail,
                Optional.of(conflict.currentNumber()),
                lines,
                ImmutableList.of());
    }

    static Problem of(ApplyOutcome.Invalid invalid) {
        String detail = "the rules file has " + invalid.faults().size() + " faults";
        Problem plain = of(ErrorCode.RULES_INVALID, Execution.NOT_RUN, detail);
        return new Problem(
                plain.title,
                plain.status,
                plain.code,
                plain.execution,
                plain.detail,
                Optional.empty(),
                ImmutableList.of(),
                invalid.faults());
    }
}
