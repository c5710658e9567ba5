package baobabcroft.cli;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.common.NearestWord;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** The router's command line: parses the arguments and runs the command. Thread-safe if the serve action is. */
public final class CommandLine {
    private static final String PROGRAM = "baobabcroft";
    private static final String HELP = "help";

    private final ImmutableList<Command> commands;
    private final String version;

    private CommandLine(ServeAction serve, String version) {
        this.version = checkNotNull(version);
        this.commands = ImmutableList.<Command>builder()
                .add(ServeCommand.create(checkNotNull(serve)))
                .addAll(RulesFileCommands.all())
                .addAll(RulesChangeCommands.all())
                .addAll(InstanceCommands.all())
                .add(TraceCommand.create())
                .build();
    }

    /**
     * Returns a new command line.
     *
     * @param serve runs an instance, for the command {@code serve}
     * @param version the program's version, printed by {@code --version}
     * @return the command line
     */
    public static CommandLine create(ServeAction serve, String version) {
        return new CommandLine(serve, version);
    }

    /**
     * Runs the command given by the arguments.
     *
     * @param args the arguments, starting with the command
     * @param streams where the command writes its output
     * @return the exit status of the process, see {@link ExitCode}
     */
    public int run(String[] args, Streams streams) {
        try {
            return dispatch(ImmutableList.copyOf(args), streams);
        } catch (CommandException e) {
            streams.err().println(PROGRAM + ": " + e.getMessage());
            return e.exitCode().status();
        }
    }

    private int dispatch(List<String> args, Streams streams) {
        if (args.isEmpty()) {
            streams.err().println(overview());
            return ExitCode.USAGE.status();
        }
        if (args.get(0).equals(HELP) || args.get(0).equals("--help")) {
            streams.out().println(overview());
            return ExitCode.OK.status();
        }
        if (args.get(0).equals("--version")) {
            streams.out().println(PROGRAM + " " + version);
            return ExitCode.OK.status();
        }
        Command command = findCommand(args);
        int nameLength = nameWords(command).size();
        return run(command, args.subList(nameLength, args.size()), streams);
    }

    private Command findCommand(List<String> args) {
        for (Command command : commands) {
            List<String> words = nameWords(command);
            if (args.size() >= words.size() && args.subList(0, words.size()).equals(words)) {
                return command;
            }
        }
        throw unknownCommand(args);
    }

    private static List<String> nameWords(Command command) {
        return Arrays.asList(command.fullName().split(" ", -1));
    }

    private CommandException unknownCommand(List<String> args) {
        if (args.get(0).startsWith("-")) {
            return usageError("the command comes before its options");
        }
        List<String> known = commands.stream().map(Command::fullName).toList();
        List<String> group = known.stream()
                .filter(name -> name.startsWith(args.get(0) + " "))
                .toList();
        if (args.size() == 1 && !group.isEmpty()) {
            return usageError("'" + args.get(0) + "' needs a subcommand: " + String.join(", ", group));
        }
        String oneWord = args.get(0);
        String twoWords = args.size() > 1 ? oneWord + " " + args.get(1) : oneWord;
        Optional<String> nearest = NearestWord.find(twoWords, known).or(() -> NearestWord.find(oneWord, known));
        String hint = nearest.map(name -> "; did you mean '" + name + "'?").orElse("");
        return usageError("unknown command '" + twoWords + "'" + hint);
    }

    private static CommandException usageError(String problem) {
        return new CommandException(ExitCode.USAGE, problem + "; see '" + PROGRAM + " --help'");
    }

    private static int run(Command command, List<String> args, Streams streams) {
        OptionParser parser = new OptionParser(false);
        parser.accepts(HELP, "show this help").forHelp();
        command.options().accept(parser);
        OptionSet options = parse(command, parser, args);
        if (options.has(HELP)) {
            printHelp(command, parser, streams);
            return ExitCode.OK.status();
        }
        List<String> arguments =
                options.nonOptionArguments().stream().map(String::valueOf).toList();
        if (arguments.size() < command.minArguments() || arguments.size() > command.maxArguments()) {
            throw commandUsageError(command, "wrong number of arguments");
        }
        return command.action().applyAsInt(new Invocation(options, arguments, streams));
    }

    private static OptionSet parse(Command command, OptionParser parser, List<String> args) {
        try {
            return parser.parse(args.toArray(new String[0]));
        } catch (OptionException e) {
            throw commandUsageError(command, e.getMessage());
        }
    }

    private static CommandException commandUsageError(Command command, String problem) {
        String line = (PROGRAM + " " + command.fullName() + " " + command.usage()).strip();
        String message = problem + "; usage: " + line + "; see '" + PROGRAM + " " + command.fullName() + " --help'";
        return new CommandException(ExitCode.USAGE, message);
    }

    private static void printHelp(Command command, OptionParser parser, Streams streams) {
        String line = (PROGRAM + " " + command.fullName() + " " + command.usage()).strip();
        streams.out().println("usage: " + line + " [options]");
        streams.out().println();
        streams.out().println(command.summary() + ".");
        streams.out().println(command.help());
        streams.out().println();
        try {
            parser.printHelpOn(streams.out());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private String overview() {
        StringBuilder text = new StringBuilder("usage: " + PROGRAM + " COMMAND [arguments] [options]\n\ncommands:\n");
        for (Command command : commands) {
            String line = command.fullName() + " " + command.usage();
            text.append("  %-36s %s%n".formatted(line, command.summary()));
        }
        text.append(
                """

                first steps:
                  baobabcroft rules check examples/kovacic/kovacic.rules
                  baobabcroft serve --settings examples/kovacic/instance-1.json
                  baobabcroft rules apply FILE --base 0 --comment "first rules" --admin URL --admin-key-file FILE
                  baobabcroft rules show --out FILE --admin URL --admin-key-file FILE    then edit and apply again

                exit codes:
                """);
        for (ExitCode code : ExitCode.values()) {
            text.append("  %d  %s%n".formatted(code.status(), code.meaning()));
        }
        text.append("\n'baobabcroft COMMAND --help' shows the options of a command; --version shows the version.");
        return text.toString();
    }

    /** Returns all commands, in the order in which the help lists them. */
    ImmutableList<Command> commands() {
        return commands;
    }
}
