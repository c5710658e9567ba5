package baobabcroft.acceptance;

import baobabcroft.testing.FreePorts;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Rules of the scenarios: three failure domains, four engines, two endpoints of a service, one client account.
 *
 * @param text the initial rules file
 */
record SampleRules(String text) {
    private static final List<String> DOMAINS = List.of("north-a", "north-b", "north-c");
    private static final String RULE_COMMENT = " # operator: scenario\n";
    private static final String OLD_VERSION = "version film@1 state=open share=100 price=0.10 quality=0.80";
    private static final String NEW_VERSION = "version film@2 state=open share=0 price=0.10 quality=0.80";

    static SampleRules create(FreePorts ports) {
        StringBuilder text = new StringBuilder();
        DOMAINS.forEach(name -> line(text, "failure-domain " + name + " region=north"));
        line(text, OLD_VERSION);
        line(text, NEW_VERSION);
        line(text, "version paper@1 state=open share=100 price=0.10 quality=0.80");
        line(text, "operation ledger/place idempotent=no price=0.02 timeout=20s");
        IntStream.rangeClosed(1, 4).forEach(n -> line(text, engine(n, ports.next())));
        IntStream.rangeClosed(1, 2).forEach(n -> line(text, service(n, ports.next())));
        line(
                text,
                "account " + Deployment.ACCOUNT + " key-sha256=" + Deployment.sha256(Deployment.ACCOUNT + "-key")
                        + " allow=film,paper,ledger");
        return new SampleRules(text.toString());
    }

    private static void line(StringBuilder text, String rule) {
        text.append(rule).append(RULE_COMMENT);
    }

    private static String engine(int number, int port) {
        return "endpoint engine-" + number + " address=127.0.0.1:" + port + " failure-domain=" + domain(number)
                + " versions=film@1,film@2,paper@1 max-concurrent=32";
    }

    private static String service(int number, int port) {
        return "endpoint ledger-" + number + " address=127.0.0.1:" + port + " failure-domain=" + domain(number)
                + " service=ledger max-concurrent=32";
    }

    /** Returns the failure domain of a numbered instance or endpoint, assigned round-robin starting at 1. */
    static String domain(int number) {
        return DOMAINS.get((number - 1) % DOMAINS.size());
    }

    /** Returns the rules with version film@1 withdrawn and all new sessions assigned to film@2. */
    String withdrawn() {
        return text.replace(OLD_VERSION, "version film@1 state=withdrawn price=0.10 quality=0.80")
                .replace(NEW_VERSION, NEW_VERSION.replace("share=0", "share=100"));
    }

    /** Returns the rules with a different price of paper@1, in currency units. */
    String withPaperPrice(String price) {
        return text.replace("paper@1 state=open share=100 price=0.10", "paper@1 state=open share=100 price=" + price);
    }
}
