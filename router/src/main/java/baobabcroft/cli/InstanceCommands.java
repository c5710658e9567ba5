package baobabcroft.cli;

import baobabcroft.admin.BillView;
import baobabcroft.admin.DrainReport;
import baobabcroft.admin.Explanation;
import baobabcroft.admin.OpenClaimView;
import baobabcroft.admin.Problem;
import baobabcroft.admin.StatusReport;
import com.google.common.collect.ImmutableList;
import com.google.common.net.UrlEscapers;
import java.util.List;
import java.util.function.Function;
import joptsimple.OptionParser;

/**
 * Commands that query or control one instance: {@code explain}, {@code status}, {@code bills}, {@code claims} and
 * {@code drain}.
 */
final class InstanceCommands {
    private static final String SESSION = "session";
    private static final String FAILURE_DOMAIN = "failure-domain";

    private InstanceCommands() {}

    static ImmutableList<Command> all() {
        return ImmutableList.of(explain(), status(), bills(), claims(), drain());
    }

    private static Command explain() {
        return new Command(
                "explain",
                "ACCOUNT TARGET",
                "show what the instance would do with a request, and why",
                "TARGET is a model, a version as film-small@2, a cascade or an operation. Nothing is run.",
                2,
                2,
                InstanceCommands::declareExplain,
                InstanceCommands::runExplain);
    }

    private static void declareExplain(OptionParser parser) {
        Invocation.declareAdmin(parser);
        parser.accepts(SESSION, "session of the request").withRequiredArg().describedAs("NAME");
        parser.accepts(FAILURE_DOMAIN, "failure domain that the request comes in at")
                .withRequiredArg()
                .describedAs("NAME");
    }

    private static int runExplain(Invocation invocation) {
        StringBuilder path = new StringBuilder("explain?account=")
                .append(escape(invocation.argument(0).orElseThrow()))
                .append("&target=")
                .append(escape(invocation.argument(1).orElseThrow()));
        invocation.option(SESSION).ifPresent(name -> path.append("&session=").append(escape(name)));
        invocation.option(FAILURE_DOMAIN).ifPresent(name -> path.append("&failureDomain=")
                .append(escape(name)));
        AdminResponse response = invocation.adminClient().get(path.toString());
        if (!response.isSuccess()) {
            return printProblem(invocation, response);
        }
        Explanation explanation = response.read(Explanation.class);
        invocation.print(explanation, Report.explanation(explanation));
        return ExitCode.OK.status();
    }

    private static String escape(String text) {
        return UrlEscapers.urlFormParameterEscaper().escape(text);
    }

    private static Command status() {
        return new Command(
                "status",
                "",
                "show the state of the instance, its peers, endpoints and versions",
                "Also shows whether the configuration in force is accepted, and which instances have not confirmed it.",
                0,
                0,
                Invocation::declareAdmin,
                InstanceCommands::runStatus);
    }

    private static int runStatus(Invocation invocation) {
        AdminResponse response = invocation.adminClient().get("status");
        if (!response.isSuccess()) {
            return printProblem(invocation, response);
        }
        StatusReport status = response.read(StatusReport.class);
        invocation.print(status, Report.status(status));
        return ExitCode.OK.status();
    }

    private static Command bills() {
        return new Command(
                "bills",
                "",
                "print all bills, each request once",
                """
                One line a bill: account, request, version or operation, tokens, amount in millionths, outcome. A bill
                with the outcome 'unknown' charges nothing; find out whether the request ran and settle it by hand.""",
                0,
                0,
                Invocation::declareAdmin,
                invocation -> runList(invocation, "bills", BillView[].class, Report::bills));
    }

    private static Command claims() {
        return new Command(
                "claims",
                "",
                "print the non-idempotent requests whose outcome is not known",
                "One line a claim: account, idempotency key, operation, claiming instance, deadline.",
                0,
                0,
                Invocation::declareAdmin,
                invocation -> runList(invocation, "claims", OpenClaimView[].class, Report::claims));
    }

    private static <T> int runList(
            Invocation invocation, String path, Class<T[]> type, Function<List<T>, String> report) {
        AdminResponse response = invocation.adminClient().get(path);
        if (!response.isSuccess()) {
            return printProblem(invocation, response);
        }
        List<T> entries = List.of(response.read(type));
        invocation.print(entries, report.apply(entries));
        return ExitCode.OK.status();
    }

    private static Command drain() {
        return new Command(
                "drain",
                "",
                "start a planned stop of the instance at --admin",
                """
                The instance tells the balancer to send no more, finishes the requests that it has, and ends. Other
                instances go on. A second drain changes nothing.""",
                0,
                0,
                Invocation::declareAdmin,
                InstanceCommands::runDrain);
    }

    private static int runDrain(Invocation invocation) {
        AdminResponse response = invocation.adminClient().post("drain");
        if (!response.isSuccess()) {
            return printProblem(invocation, response);
        }
        DrainReport report = response.read(DrainReport.class);
        String text = "draining: %d open requests, the process ends within %d ms"
                .formatted(report.openRequests(), report.remainingMillis());
        invocation.print(report, text);
        return ExitCode.OK.status();
    }

    /** Prints a problem response and returns the matching exit status. */
    static int printProblem(Invocation invocation, AdminResponse response) {
        Problem problem = response.problem();
        if (invocation.json()) {
            invocation.print(response.body());
        } else {
            invocation.printError(Report.problem(problem));
        }
        return response.exitCode().status();
    }
}
