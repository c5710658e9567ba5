package baobabcroft.cli;

import baobabcroft.admin.ApplyRequest;
import baobabcroft.admin.ApplyResponse;
import baobabcroft.admin.ConfigDocument;
import baobabcroft.admin.ConfigSummary;
import baobabcroft.admin.RollbackRequest;
import baobabcroft.rules.ParsedRules;
import baobabcroft.rules.RulesParser;
import com.google.common.collect.ImmutableList;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import joptsimple.OptionParser;

/**
 * Commands that show and change the configuration in force: {@code rules show}, {@code apply}, {@code history} and
 * {@code rollback}.
 */
final class RulesChangeCommands {
    private static final String RULES_PATH = "rules";
    private static final String BASE = "base";
    private static final String COMMENT = "comment";
    private static final String OUT = "out";

    private RulesChangeCommands() {}

    static ImmutableList<Command> all() {
        return ImmutableList.of(show(), apply(), history(), rollback());
    }

    private static Command show() {
        return new Command(
                "rules show",
                "[NUMBER]",
                "print the rules in force, or those of an earlier configuration",
                """
                The first line, '# base: NUMBER', tells 'rules apply' which configuration you started from; leave it in
                the file that you edit.""",
                0,
                1,
                parser -> {
                    Invocation.declareAdmin(parser);
                    parser.accepts(OUT, "write the rules to a file")
                            .withRequiredArg()
                            .describedAs("FILE");
                },
                RulesChangeCommands::runShow);
    }

    private static int runShow(Invocation invocation) {
        String path = invocation
                .numberArgument(0)
                .map(number -> RULES_PATH + "/history/" + number)
                .orElse(RULES_PATH);
        AdminResponse response = invocation.adminClient().get(path);
        if (!response.isSuccess()) {
            return InstanceCommands.printProblem(invocation, response);
        }
        ConfigDocument document = response.read(ConfigDocument.class);
        String text = BaseComment.addTo(document.text(), document.number());
        Optional<String> out = invocation.option(OUT);
        if (out.isPresent()) {
            Invocation.write(Path.of(out.get()), text);
            invocation.print(document.summary(), "configuration " + document.number() + " written to " + out.get());
            return ExitCode.OK.status();
        }
        invocation.print(document, text.stripTrailing());
        return ExitCode.OK.status();
    }

    private static Command apply() {
        return new Command(
                "rules apply",
                "FILE --comment TEXT",
                "put a rules file in force",
                """
                The file must start with '# base: NUMBER', as 'rules show' prints it, or --base must say which
                configuration you started from (0 for the very first). If another operator was faster, nothing is
                changed and you are shown what they changed. After a change the base line of the file is brought up to
                date, so that you can go on editing it. Exit code 0 means that the change is in force on every instance
                that takes work; 5 means that it is stored and some instances have not confirmed it yet.""",
                1,
                1,
                RulesChangeCommands::declareApply,
                RulesChangeCommands::runApply);
    }

    private static void declareApply(OptionParser parser) {
        Invocation.declareAdmin(parser);
        parser.accepts(COMMENT, "why the change is made")
                .withRequiredArg()
                .describedAs("TEXT")
                .required();
        parser.accepts(BASE, "number of the configuration that the file was made from")
                .withRequiredArg()
                .describedAs("NUMBER");
    }

    private static int runApply(Invocation invocation) {
        Path file = Path.of(invocation.argument(0).orElseThrow());
        String text = Invocation.read(file);
        if (RulesParser.parse(text) instanceof ParsedRules.Faulty faulty) {
            return RulesFileCommands.printFaults(invocation, file.toString(), faulty.faults());
        }
        Optional<Long> lineNumber = BaseComment.numberIn(text);
        Optional<Long> base = invocation.numberOption(BASE).or(() -> lineNumber);
        if (base.isEmpty()) {
            throw new CommandException(
                    ExitCode.USAGE, file + " has no '# base: NUMBER' line; give --base NUMBER (0 for the very first)");
        }
        ApplyRequest request = new ApplyRequest(
                BaseComment.removeFrom(text),
                base.get(),
                invocation.option(COMMENT).orElseThrow());
        AdminResponse response = invocation.adminClient().post(RULES_PATH, request);
        if (response.isSuccess() && lineNumber.isPresent()) {
            long number = response.read(ApplyResponse.class).number();
            Invocation.write(file, BaseComment.addTo(text, number));
        }
        return printApplied(invocation, response);
    }

    private static int printApplied(Invocation invocation, AdminResponse response) {
        if (!response.isSuccess()) {
            return InstanceCommands.printProblem(invocation, response);
        }
        ApplyResponse answer = response.read(ApplyResponse.class);
        invocation.print(answer, Report.applied(answer));
        return response.exitCode().status();
    }

    private static Command history() {
        return new Command(
                "rules history",
                "",
                "list all configurations, the newest first",
                "Shows number, time in UTC, author and comment. 'rules show NUMBER' prints the rules of one.",
                0,
                0,
                Invocation::declareAdmin,
                RulesChangeCommands::runHistory);
    }

    private static int runHistory(Invocation invocation) {
        AdminResponse response = invocation.adminClient().get(RULES_PATH + "/history");
        if (!response.isSuccess()) {
            return InstanceCommands.printProblem(invocation, response);
        }
        List<ConfigSummary> history = ImmutableList.copyOf(response.read(ConfigSummary[].class));
        invocation.print(history, Report.history(history));
        return ExitCode.OK.status();
    }

    private static Command rollback() {
        return new Command(
                "rules rollback",
                "NUMBER",
                "put the rules of an earlier configuration in force again",
                """
                Makes a new configuration with the rules of configuration NUMBER. Without --base it replaces whatever is
                in force at that moment; with --base it is refused if someone changed the rules since.""",
                1,
                1,
                parser -> {
                    Invocation.declareAdmin(parser);
                    parser.accepts(BASE, "number of the configuration that you want to replace")
                            .withRequiredArg()
                            .describedAs("NUMBER");
                },
                RulesChangeCommands::runRollback);
    }

    private static int runRollback(Invocation invocation) {
        long number = invocation.numberArgument(0).orElseThrow();
        AdminClient admin = invocation.adminClient();
        Optional<Long> base = invocation.numberOption(BASE);
        if (base.isEmpty()) {
            AdminResponse current = admin.get(RULES_PATH);
            if (!current.isSuccess()) {
                return InstanceCommands.printProblem(invocation, current);
            }
            base = Optional.of(current.read(ConfigDocument.class).number());
        }
        return printApplied(invocation, admin.post(RULES_PATH + "/rollback", new RollbackRequest(number, base.get())));
    }
}
