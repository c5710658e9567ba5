package baobabcroft.cli;

import baobabcroft.admin.AdminJson;
import baobabcroft.admin.Problem;

/**
 * Response of an instance's admin port.
 *
 * @param status the HTTP status code
 * @param body the response body, normally JSON
 */
record AdminResponse(int status, String body) {
    private static final int FIRST_REDIRECT = 300;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int ACCEPTED = 202;
    private static final int UNPROCESSABLE = 422;

    boolean isSuccess() {
        return status < FIRST_REDIRECT;
    }

    ExitCode exitCode() {
        if (isSuccess()) {
            return status == ACCEPTED ? ExitCode.NOT_YET_ACCEPTED : ExitCode.OK;
        }
        if (status == UNPROCESSABLE) {
            return ExitCode.INPUT_FAULT;
        }
        return status < FIRST_SERVER_ERROR ? ExitCode.REFUSED : ExitCode.UNREACHABLE;
    }

    <T> T read(Class<T> type) {
        try {
            return AdminJson.read(body, type);
        } catch (IllegalArgumentException e) {
            throw new CommandException(
                    ExitCode.UNREACHABLE,
                    "unexpected response (HTTP " + status + "); check that --admin is an instance's admin address");
        }
    }

    Problem problem() {
        return read(Problem.class);
    }
}
