package baobabcroft.cli;

import java.util.function.Consumer;
import java.util.function.ToIntFunction;
import joptsimple.OptionParser;

/**
 * A command of the command line.
 *
 * @param words the words that name it, as {@code rules check}
 * @param usage arguments and required options that follow the words
 * @param summary one line on what it does
 * @param help what a newcomer should know
 * @param minArguments fewest arguments
 * @param maxArguments most arguments
 * @param options declares its options
 * @param action runs it and returns the exit status
 */
record Command(
        String words,
        String usage,
        String summary,
        String help,
        int minArguments,
        int maxArguments,
        Consumer<OptionParser> options,
        ToIntFunction<Invocation> action) {}
