package baobabcroft.cli;

import baobabcroft.trace.LogFiles;
import baobabcroft.trace.RequestTrace;
import baobabcroft.trace.RequestTraceReport;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.List;
import java.util.Optional;
import joptsimple.OptionParser;

/** The command {@code trace}, which reconstructs what happened to a request from the instances' log files. */
final class TraceCommand {
    private static final String ACCOUNT = "account";
    private static final String AT = "at";
    private static final String WITHIN_MILLIS = "within-millis";
    private static final long DEFAULT_WITHIN_MILLIS = 5_000;
    private static final int MAX_FILES = 10_000;

    private TraceCommand() {}

    static Command create() {
        return new Command(
                "trace",
                "[REQUEST-ID] FILE...",
                "tell a request's story from log files; works without any instance",
                """
                FILE is what an instance wrote to standard output; give as many as there are.
                With --account and --at, tells all requests of the client account that ended around the time.
                Requests that went well are logged as a sample only.""",
                1,
                MAX_FILES,
                TraceCommand::declare,
                TraceCommand::run);
    }

    private static void declare(OptionParser parser) {
        parser.accepts(ACCOUNT, "client account; instead of a request's id")
                .withRequiredArg()
                .describedAs("NAME");
        parser.accepts(AT, "time, as 2026-05-04T10:15:30Z or in milliseconds since the epoch")
                .withRequiredArg()
                .describedAs("TIME");
        parser.accepts(WITHIN_MILLIS, "how far from the time requests may have ended; " + DEFAULT_WITHIN_MILLIS)
                .withRequiredArg()
                .describedAs("MILLIS");
        Invocation.declareJson(parser);
    }

    private static int run(Invocation invocation) {
        Optional<String> account = invocation.option(ACCOUNT);
        if (account.isPresent() != invocation.option(AT).isPresent()) {
            throw new CommandException(ExitCode.USAGE, "trace needs --account and --at together, or neither");
        }
        List<String> files = account.isPresent()
                ? invocation.arguments()
                : invocation.arguments().subList(1, invocation.arguments().size());
        if (files.isEmpty()) {
            throw new CommandException(ExitCode.USAGE, "trace needs at least one log file");
        }
        LogFiles log = read(files.stream().map(Path::of).toList());
        List<String> requests = account.map(name -> requestsOf(invocation, name, log))
                .orElseGet(() -> List.of(invocation.argument(0).orElseThrow()));
        ImmutableList<RequestTrace> traces = requests.stream()
                .flatMap(request -> RequestTrace.of(request, log.lines()).stream())
                .collect(ImmutableList.toImmutableList());
        if (log.malformedLines() > 0) {
            invocation.streams().err().println(log.malformedLines() + " damaged lines skipped");
        }
        if (traces.isEmpty()) {
            throw new CommandException(ExitCode.REFUSED, noMatch(account, requests, log));
        }
        invocation.print(
                traces,
                String.join("\n\n", traces.stream().map(RequestTraceReport::of).toList()));
        return ExitCode.OK.status();
    }

    private static LogFiles read(List<Path> files) {
        try {
            return LogFiles.read(files);
        } catch (IOException unreadable) {
            throw new CommandException(
                    ExitCode.INPUT_FAULT,
                    unreadable.getMessage() + ": cannot be read ("
                            + unreadable.getClass().getSimpleName() + ")");
        }
    }

    private static List<String> requestsOf(Invocation invocation, String account, LogFiles log) {
        long atEpochMillis = time(invocation.option(AT).orElseThrow());
        long withinMillis = invocation.numberOption(WITHIN_MILLIS).orElse(DEFAULT_WITHIN_MILLIS);
        return RequestTrace.requestsOf(
                account, atEpochMillis - withinMillis, atEpochMillis + withinMillis, log.lines());
    }

    private static long time(String text) {
        try {
            return text.chars().allMatch(Character::isDigit)
                    ? Long.parseLong(text)
                    : Instant.parse(text).toEpochMilli();
        } catch (DateTimeParseException | NumberFormatException malformed) {
            throw new CommandException(
                    ExitCode.USAGE,
                    "--at is '" + text
                            + "'; expected a time such as 2026-05-04T10:15:30Z or milliseconds since the epoch");
        }
    }

    private static String noMatch(Optional<String> account, List<String> requests, LogFiles log) {
        String what = account.map(name -> "no request of account " + name + " around that time")
                .orElseGet(() -> "no line of request " + requests.get(0));
        return what + " in " + log.lines().size()
                + " events; successful requests are logged as a sample only, and a caller's retry has a different id";
    }
}
