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
 * Response body for an error, with members after RFC 9457.
 *
 * @param title the error code as words
 * @param status HTTP status code
 * @param code error code, which stays the same across releases
 * @param execution whether the command may have taken effect
 * @param detail description of the error
 * @param currentNumber number of the current configuration; empty unless the error is a conflict
 * @param diff lines of the difference from the base to the current configuration; empty unless the error is a conflict
 * @param faults faults of the rules file; empty unless the rules are invalid
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
    /** Copies the lists and replaces absent components by empty ones, as empty members are left out of the JSON. */
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
                "the configuration has changed since the base; the current one is number " + conflict.currentNumber());
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
