package baobabcroft.cli;

/** Exit codes of the process. */
public enum ExitCode {
    /** The command succeeded. */
    OK(0, "done"),
    /** An input file cannot be read or has faults. */
    INPUT_FAULT(1, "a given file cannot be read or has faults"),
    /** The command line is invalid. */
    USAGE(2, "the command line is wrong"),
    /** The instance refused the command, for example because another operator changed the rules first. */
    REFUSED(3, "refused: conflict with another change, unknown key, or nothing of that name"),
    /** The instance or the platform's store did not respond; a change may have been stored. */
    UNREACHABLE(4, "the instance or the platform's store did not answer; a change may have been stored"),
    /** The change is stored but not yet confirmed by all instances. */
    NOT_YET_ACCEPTED(5, "the change is stored, but instances have not confirmed it yet");

    private final int status;
    private final String meaning;

    ExitCode(int status, String meaning) {
        this.status = status;
        this.meaning = meaning;
    }

    /**
     * Returns the exit status of the process.
     *
     * @return a number from 0 to 5
     */
    public int status() {
        return status;
    }

    /**
     * Returns a description of the code for the help text.
     *
     * @return a phrase without a final full stop
     */
    public String meaning() {
        return meaning;
    }
}
