package baobabcroft.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import baobabcroft.external.HttpLiveList;
import baobabcroft.external.LiveEntry;
import baobabcroft.external.LiveList;
import baobabcroft.external.LiveListResult;
import baobabcroft.rules.ParsedRules;
import baobabcroft.rules.RuleSet;
import baobabcroft.rules.RulesParser;
import baobabcroft.testing.FreePorts;
import com.google.common.net.HostAndPort;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class StandinsTest {
    private static final long LIMIT_SECONDS = 20;
    private static final long LONG_LAG_MILLIS = 600_000;
    private static final String RULES =
            """
            failure-domain split-a region=split # ana: sites
            version film@1 state=open share=100 price=0.15 quality=0.5 # ana: version in use
            operation ledger/place idempotent=no price=0.05 timeout=3s # ana: orders
            endpoint engine-1 address=127.0.0.1:%d failure-domain=split-a versions=film@1 max-concurrent=8 \
            checks-fencing=no # ana: worker
            endpoint ledger-1 address=127.0.0.1:%d failure-domain=split-a service=ledger max-concurrent=8 \
            checks-fencing=yes # ana: ledger
            """;

    private final Standins standins = Standins.start(Standins.Ports.ANY, rules(), 1);
    private final LiveList list =
            HttpLiveList.create(standins.liveList().uri(), TimeUnit.SECONDS.toMillis(LIMIT_SECONDS));

    @AfterEach
    void stop() {
        standins.close();
    }

    private static RuleSet rules() {
        FreePorts ports = new FreePorts();
        String text = RULES.formatted(ports.next(), ports.next());
        return assertInstanceOf(ParsedRules.Valid.class, RulesParser.parse(text))
                .rules();
    }

    private List<LiveEntry> entries() throws Exception {
        LiveListResult result = list.fetch().toCompletableFuture().get(LIMIT_SECONDS, TimeUnit.SECONDS);
        return assertInstanceOf(LiveListResult.Listed.class, result).entries();
    }

    private static LiveEntry instance(LiveEntry.State state) {
        HostAndPort address = HostAndPort.fromString("127.0.0.1:7021");
        return new LiveEntry("entry-1", LiveEntry.Role.INSTANCE, state, "split-a", address);
    }

    @Test
    void listsEndpointsAtTheirConfiguredPorts() throws Exception {
        LiveEntry engine = entries().get(0);
        assertEquals("engine-1", engine.name());
        assertEquals(standins.engines().get("engine-1").port(), engine.address().getPort());
        String body = "{\"model\":\"film@1\",\"messages\":[]}";
        assertEquals(
                200,
                new StandinClient()
                        .post(engine.address().getPort(), "/v1/chat/completions", body)
                        .statusCode());
    }

    @Test
    void liveListHidesAChangeUntilItsLagHasPassed() throws Exception {
        standins.liveList().put(instance(LiveEntry.State.LIVE));
        standins.liveList().setLagMillis(LONG_LAG_MILLIS);
        standins.liveList().put(instance(LiveEntry.State.LEAVING));
        assertEquals(instance(LiveEntry.State.LIVE), entries().get(1));
    }
}
