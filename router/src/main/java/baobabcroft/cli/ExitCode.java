package baobabcroft.cli;

/** Exit codes of the commands. */
public enum ExitCode {
    /** The command did what it was asked for. */
    OK(0, "done"),
    /** A file that the command was given cannot be read or has faults. */
    INPUT_FAULT(1, "a given file cannot be read or has faults"),
    /** The command line itself is wrong. */
    USAGE(2, "the command line is wrong"),
    /** The instance refused the command, for example because another operator was faster. */
    REFUSED(3, "refused: conflict with another change, unknown key, or nothing of that name"),
    /** The instance or the platform's store did not answer. */
    UNREACHABLE(4, "the instance or the platform's store did not answer; a change may have been stored"),
    /** The change is stored but not yet in force everywhere. */
    NOT_YET_ACCEPTED(5, "the change is stored, but instances have not confirmed it yet");

    private final int status;
    private final String meaning;

    ExitCode(int status, String meaning) {
        this.status = status;
        this.meaning = meaning;
    }

    /**
     * Returns the status that the process exits with.
     *
     * @return a number from 0 to 5
     */
    public int status() {
        return status;
    }

    /**
     * Returns what the code means, for people to read.
     *
     * @return a phrase
     */
    public String meaning() {
        return meaning;
    }
}
