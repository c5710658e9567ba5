package baobabcroft.cli;

import baobabcroft.admin.AdminJson;
import com.google.common.collect.Iterables;
import com.google.common.primitives.Longs;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/**
 * One invocation of a command: its parsed options and arguments.
 *
 * @param options the parsed options
 * @param arguments the arguments that are not options
 * @param streams where the command writes its output
 */
record Invocation(OptionSet options, List<String> arguments, Streams streams) {
    private static final String ADMIN = "admin";
    private static final String ADMIN_KEY_FILE = "admin-key-file";
    private static final String JSON = "json";

    /** Declares the options shared by all commands that send requests to an instance. */
    static void declareAdmin(OptionParser parser) {
        parser.accepts(ADMIN, "admin address of any instance, as http://127.0.0.1:7011")
                .withRequiredArg()
                .describedAs("URL")
                .required();
        parser.accepts(ADMIN_KEY_FILE, "file that holds your operator's key")
                .withRequiredArg()
                .describedAs("FILE")
                .required();
        declareJson(parser);
    }

    static void declareJson(OptionParser parser) {
        parser.accepts(JSON, "print JSON instead of text");
    }

    Optional<String> option(String name) {
        return options.has(name) ? Optional.of((String) Iterables.getLast(options.valuesOf(name))) : Optional.empty();
    }

    Optional<Long> numberOption(String name) {
        return option(name).map(text -> number(text, "--" + name));
    }

    Optional<Long> numberArgument(int index) {
        return argument(index).map(text -> number(text, "the configuration's number"));
    }

    private static long number(String text, String what) {
        Long number = Longs.tryParse(text);
        if (number == null || number < 0) {
            throw new CommandException(ExitCode.USAGE, what + " is '" + text + "'; expected a whole number");
        }
        return number;
    }

    Optional<String> argument(int index) {
        return index < arguments.size() ? Optional.of(arguments.get(index)) : Optional.empty();
    }

    boolean json() {
        return options.has(JSON);
    }

    void print(String text) {
        streams.out().println(text);
    }

    void printError(String text) {
        streams.err().println(text);
    }

    /** Prints a value as JSON if the option {@code --json} is set, otherwise as text. */
    void print(Object value, String text) {
        print(json() ? AdminJson.write(value) : text);
    }

    AdminClient adminClient() {
        String url = option(ADMIN).orElseThrow();
        String key = read(Path.of(option(ADMIN_KEY_FILE).orElseThrow())).strip();
        return AdminClient.create(parseUrl(url), key);
    }

    private static URI parseUrl(String text) {
        try {
            URI url = URI.create(text);
            if (url.getHost() != null && ("http".equals(url.getScheme()) || "https".equals(url.getScheme()))) {
                return url;
            }
        } catch (IllegalArgumentException e) {
            throw invalidUrl(text);
        }
        throw invalidUrl(text);
    }

    private static CommandException invalidUrl(String text) {
        return new CommandException(
                ExitCode.USAGE, "--admin is '" + text + "'; expected a URL such as http://127.0.0.1:7011");
    }

    static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (CharacterCodingException e) {
            throw new CommandException(ExitCode.INPUT_FAULT, file + ": not UTF-8 text");
        } catch (IOException e) {
            throw new CommandException(
                    ExitCode.INPUT_FAULT,
                    file + ": cannot be read (" + e.getClass().getSimpleName() + ")");
        }
    }

    static void write(Path file, String text) {
        try {
            Files.writeString(file, text);
        } catch (IOException e) {
            throw new CommandException(
                    ExitCode.INPUT_FAULT,
                    file + ": cannot be written (" + e.getClass().getSimpleName() + ")");
        }
    }
}
