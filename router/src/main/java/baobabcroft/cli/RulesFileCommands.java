package baobabcroft.cli;

import baobabcroft.admin.ConfigDocument;
import baobabcroft.rules.ParsedRules;
import baobabcroft.rules.RuleChange;
import baobabcroft.rules.RuleFault;
import baobabcroft.rules.RulesDiff;
import baobabcroft.rules.RulesParser;
import com.google.common.collect.ImmutableList;
import java.nio.file.Path;
import java.util.List;
import joptsimple.OptionParser;

/** Commands that check and compare rules files: {@code rules check} and {@code rules diff}. */
final class RulesFileCommands {
    private RulesFileCommands() {}

    static ImmutableList<Command> all() {
        return ImmutableList.of(check(), diff());
    }

    private record CheckResult(int rules, List<RuleFault> faults) {}

    private record Change(String kind, String rule, String text) {}

    private static Command check() {
        return new Command(
                "rules check",
                "FILE",
                "check a rules file; works without any instance",
                "Prints every fault as FILE:LINE:COLUMN, what was expected and the nearest known word.",
                1,
                1,
                Invocation::declareJson,
                RulesFileCommands::runCheck);
    }

    private static int runCheck(Invocation invocation) {
        String file = invocation.argument(0).orElseThrow();
        ParsedRules parsed = RulesParser.parse(Invocation.read(Path.of(file)));
        if (parsed instanceof ParsedRules.Valid valid) {
            int rules = valid.lines().size();
            invocation.print(new CheckResult(rules, ImmutableList.of()), file + ": " + rules + " rules, no fault");
            return ExitCode.OK.status();
        }
        return printFaults(invocation, file, ((ParsedRules.Faulty) parsed).faults());
    }

    /** Prints the faults of a file and returns the matching exit status. */
    static int printFaults(Invocation invocation, String file, List<RuleFault> faults) {
        invocation.print(new CheckResult(0, faults), Report.faults(file, faults));
        return ExitCode.INPUT_FAULT.status();
    }

    private static Command diff() {
        return new Command(
                "rules diff",
                "FILE [NEW-FILE]",
                "show what a rules file would change",
                """
                With one file, compares the configuration in force with it and needs --admin and --admin-key-file.
                With two files, compares the first with the second and needs no instance.
                Lines start with + for a new rule, - for one that is gone and ~ for one that says something else.""",
                1,
                2,
                RulesFileCommands::declareDiff,
                RulesFileCommands::runDiff);
    }

    private static void declareDiff(OptionParser parser) {
        parser.accepts("admin", "admin address of any instance; only with one file")
                .withRequiredArg()
                .describedAs("URL");
        parser.accepts("admin-key-file", "file that holds your operator's key; only with one file")
                .withRequiredArg()
                .describedAs("FILE");
        Invocation.declareJson(parser);
    }

    private static int runDiff(Invocation invocation) {
        String first = Invocation.read(Path.of(invocation.argument(0).orElseThrow()));
        if (invocation.arguments().size() == 2) {
            String second = Invocation.read(Path.of(invocation.argument(1).orElseThrow()));
            return printDiff(invocation, RulesDiff.between(first, second));
        }
        if (invocation.option("admin").isEmpty()
                || invocation.option("admin-key-file").isEmpty()) {
            throw new CommandException(
                    ExitCode.USAGE, "rules diff with one file needs --admin URL and --admin-key-file FILE");
        }
        AdminResponse response = invocation.adminClient().get("rules");
        if (!response.isSuccess()) {
            return InstanceCommands.printProblem(invocation, response);
        }
        return printDiff(
                invocation,
                RulesDiff.between(response.read(ConfigDocument.class).text(), first));
    }

    private static int printDiff(Invocation invocation, RulesDiff diff) {
        List<Change> changes =
                diff.changes().stream().map(RulesFileCommands::view).toList();
        invocation.print(changes, diff.render());
        return ExitCode.OK.status();
    }

    private static Change view(RuleChange change) {
        if (change instanceof RuleChange.Added added) {
            return new Change("added", added.line().qualifiedName(), change.render());
        }
        if (change instanceof RuleChange.Removed removed) {
            return new Change("removed", removed.line().qualifiedName(), change.render());
        }
        return new Change("changed", ((RuleChange.Changed) change).after().qualifiedName(), change.render());
    }
}
