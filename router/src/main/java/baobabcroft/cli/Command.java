package baobabcroft.cli;

import java.util.function.Consumer;
import java.util.function.ToIntFunction;
import joptsimple.OptionParser;

/**
 * Description of one command of the command line.
 *
 * @param fullName the command's name of one or two words, for example {@code rules check}
 * @param usage arguments and required options that follow the name, for the usage line
 * @param summary one line that describes the command, without a final full stop
 * @param help further explanation for the command's help
 * @param minArguments minimum number of arguments
 * @param maxArguments maximum number of arguments
 * @param options declares the command's options
 * @param action runs the command and returns the exit status
 */
record Command(
        String fullName,
        String usage,
        String summary,
        String help,
        int minArguments,
        int maxArguments,
        Consumer<OptionParser> options,
        ToIntFunction<Invocation> action) {}
