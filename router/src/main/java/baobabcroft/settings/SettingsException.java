package baobabcroft.settings;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Joiner;
import com.google.common.collect.ImmutableList;
import java.util.List;

/** Settings that an instance cannot start with. */
public final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private static final int EXIT_STATUS = 1;

    /** What is wrong with the settings. */
    public enum Code {
        /** The settings file, or a file that it names, cannot be read. */
        SETTINGS_UNREADABLE,
        /** The settings file is not JSON or breaks the schema. */
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
     * Returns what is wrong.
     *
     * @return the code
     */
    public Code code() {
        return code;
    }

    /**
     * Returns all faults, one line each.
     *
     * @return the faults
     */
    public ImmutableList<SettingsFault> faults() {
        return faults;
    }

    /**
     * Returns the status that the process should exit with.
     *
     * @return an exit status
     */
    public int exitStatus() {
        return EXIT_STATUS;
    }
}
