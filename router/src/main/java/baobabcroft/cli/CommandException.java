package baobabcroft.cli;

import static com.google.common.base.Preconditions.checkNotNull;

/** Thrown to end a command with an exit code and a message for the operator. */
final class CommandException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ExitCode exitCode;

    CommandException(ExitCode exitCode, String message) {
        super(checkNotNull(message), null, false, false);
        this.exitCode = checkNotNull(exitCode);
    }

    ExitCode exitCode() {
        return exitCode;
    }
}
