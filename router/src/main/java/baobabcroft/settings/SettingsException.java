package baobabcroft.settings;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Joiner;
import com.google.common.collect.ImmutableList;
import java.util.List;

/** Thrown when the settings cannot be read or are invalid, so that the instance cannot start. */
public final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private static final int EXIT_STATUS = 1;

    /** Category of the error. */
    public enum Code {
        /** The settings file, or a file that it refers to, cannot be read. */
        SETTINGS_UNREADABLE,
        /** The settings file is not valid JSON, or its values violate the schema or a rule across keys. */
        SETTINGS_INVALID
    }

    private final Code code;
    private final transient ImmutableList<SettingsFault> faults;

    SettingsException(Code code, List<SettingsFault> faults) {
        super(Joiner.on('\n').join(faults));
        this.code = checkNotNull(code);
        this.faults = ImmutableList.copyOf(faults);
    }

    /**
     * Returns the category of the error.
     *
     * @return the code
     */
    public Code code() {
        return code;
    }

    /**
     * Returns all faults; the exception message has one line for each.
     *
     * @return the faults, at least one
     */
    public ImmutableList<SettingsFault> faults() {
        return faults;
    }

    /**
     * Returns the status that the process should exit with.
     *
     * @return a non-zero exit status
     */
    public int exitStatus() {
        return EXIT_STATUS;
    }
}
