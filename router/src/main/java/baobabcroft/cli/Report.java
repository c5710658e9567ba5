package baobabcroft.cli;

import baobabcroft.admin.ApplyResponse;
import baobabcroft.admin.BillView;
import baobabcroft.admin.ConfigSummary;
import baobabcroft.admin.Explanation;
import baobabcroft.admin.OpenClaimView;
import baobabcroft.admin.Problem;
import baobabcroft.admin.StatusReport;
import baobabcroft.rules.RuleFault;
import com.google.common.base.Joiner;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;

/** Formats results and problem responses as readable text. Stateless. */
final class Report {
    private static final Joiner LINES = Joiner.on('\n');
    private static final Joiner NAMES = Joiner.on(", ");

    private static final int FIRST_SERVER_ERROR = 500;

    private Report() {}

    static String faults(String file, List<RuleFault> faults) {
        List<String> lines = new ArrayList<>();
        for (RuleFault fault : faults) {
            String hint = fault.nearest()
                    .map(word -> "; did you mean '" + word + "'?")
                    .orElse("");
            lines.add("%s:%d:%d: %s; expected %s%s"
                    .formatted(file, fault.line(), fault.column(), fault.problem(), fault.expected(), hint));
        }
        lines.add(faults.size() == 1 ? "1 fault" : faults.size() + " faults");
        return LINES.join(lines);
    }

    static String problem(Problem problem) {
        List<String> lines = new ArrayList<>();
        String execution = problem.execution().replace('_', ' ');
        String result = problem.status() < FIRST_SERVER_ERROR ? "refused: " : "failed: ";
        lines.add(result + problem.detail() + " [" + problem.code() + ", " + execution + "]");
        if (!problem.diff().isEmpty()) {
            lines.add("what others changed since your base:");
            problem.diff().forEach(line -> lines.add("  " + line));
            lines.add("get the current rules with 'rules show', make your change in them and apply again");
        }
        if (!problem.faults().isEmpty()) {
            lines.add(faults("rules", problem.faults()));
        }
        return LINES.join(lines);
    }

    static String bills(List<BillView> bills) {
        return LINES.join(bills.stream()
                .map(bill -> "%s %s %s %d %d %s"
                        .formatted(
                                bill.account(),
                                bill.requestId(),
                                bill.item(),
                                bill.tokens(),
                                bill.amountMicros(),
                                bill.outcome()))
                .toList());
    }

    static String claims(List<OpenClaimView> claims) {
        return LINES.join(claims.stream()
                .map(claim -> "%s %s %s %s %s"
                        .formatted(
                                claim.account(),
                                claim.idempotencyKey(),
                                claim.operation(),
                                claim.instance(),
                                Instant.ofEpochMilli(claim.deadlineEpochMillis())))
                .toList());
    }

    static String applied(ApplyResponse answer) {
        if (answer.accepted()) {
            return "accepted: configuration " + answer.number() + " is in force, confirmed by "
                    + NAMES.join(answer.confirmedBy());
        }
        return "stored, not yet accepted: configuration " + answer.number() + " is not confirmed by "
                + NAMES.join(answer.missing()) + "; see 'status'";
    }

    static String history(List<ConfigSummary> history) {
        if (history.isEmpty()) {
            return "no configuration yet";
        }
        List<String> lines = new ArrayList<>();
        for (ConfigSummary config : history) {
            lines.add("%6d  %s  %-16s %s"
                    .formatted(config.number(), time(config.timeEpochMillis()), config.author(), config.comment()));
        }
        return LINES.join(lines);
    }

    private static Instant time(long epochMillis) {
        return Instant.ofEpochMilli(epochMillis).truncatedTo(ChronoUnit.SECONDS);
    }

    static String explanation(Explanation explanation) {
        List<String> lines = new ArrayList<>();
        explanation.steps().forEach(step -> lines.add("%-10s %s".formatted(step.stage(), step.finding())));
        explanation.version().ifPresent(version -> lines.add("version:   " + version));
        explanation.endpoint().ifPresent(endpoint -> lines.add("endpoint:  " + endpoint));
        lines.add(explanation
                .refusal()
                .map(code -> "result:    refused with " + code.code())
                .orElse("result:    would be sent"));
        return LINES.join(lines);
    }

    static String status(StatusReport status) {
        List<String> lines = new ArrayList<>();
        StatusReport.Config config = status.config();
        lines.add("instance   %s in %s: %s, %d open requests"
                .formatted(
                        status.instance(), status.failureDomain(), stateText(status.state()), status.openRequests()));
        lines.add("config     %d, %s".formatted(config.number(), acceptance(config)));
        lines.add("authority  %s, %d ms old"
                .formatted(
                        status.authority().fresh() ? "fresh" : "stale",
                        status.authority().ageMillis()));
        lines.add("store      %s, %d bills held"
                .formatted(
                        status.store().available() ? "available" : "unavailable",
                        status.store().heldBills()));
        for (StatusReport.Peer peer : status.peers()) {
            String connection = peer.connected() ? "connected" : "not connected";
            lines.add("peer       %s: %s, config %d".formatted(peer.name(), connection, peer.configNumber()));
        }
        for (StatusReport.EndpointView endpoint : status.endpoints()) {
            lines.add("endpoint   %s: %s, %d open requests"
                    .formatted(endpoint.name(), endpoint.state(), endpoint.openRequests()));
        }
        for (StatusReport.VersionView version : status.versions()) {
            String reason = version.reason().isEmpty() ? "" : " (" + version.reason() + ")";
            lines.add("version    %s: %s%s".formatted(version.version(), version.state(), reason));
        }
        return LINES.join(lines);
    }

    private static String acceptance(StatusReport.Config config) {
        if (config.accepted()) {
            return "accepted";
        }
        return "not accepted yet, missing " + NAMES.join(config.missing());
    }

    private static String stateText(StatusReport.State state) {
        return switch (state) {
            case STARTING -> "starting";
            case SERVING -> "serving";
            case WITHOUT_AUTHORITY -> "without authority";
            case DRAINING -> "draining";
        };
    }
}
