package baobabcroft.acceptance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Steps that send non-idempotent operations and check how often they ran. */
public final class OrderSteps {
    private final Deployment deployment;
    private final List<CompletableFuture<Reply>> sent = new ArrayList<>();

    /** Receives the scenario's deployment from Cucumber. */
    public OrderSteps(Deployment deployment) {
        this.deployment = deployment;
    }

    @When("order {string} is sent through instance {int}")
    public void send(String key, int instance) {
        sent.add(deployment.order(instance, key));
    }

    @When("the service has started order {string}")
    public void awaitStart(String key) {
        Conditions.await("the service starts order " + key, () -> deployment.serviceRuns(key) > 0);
    }

    @Then("the service has run order {string} {int} time(s)")
    public void checkRuns(String key, int runs) {
        sent.forEach(CompletableFuture::join);
        assertEquals(runs, deployment.serviceRuns(key), "runs of the operation");
    }

    @Then("all requests got the same response")
    public void checkSameAnswer() {
        List<Reply> replies = sent.stream().map(CompletableFuture::join).toList();
        assertTrue(replies.get(0).isOk(), replies::toString);
        assertTrue(replies.get(0).body().contains("receipt"), replies::toString);
        replies.forEach(reply -> assertEquals(replies.get(0), reply));
    }

    @Then("order {string}, sent {int} times through instance {int}, may have run or is answered each time")
    public void checkRetries(String key, int times, int instance) {
        for (int n = 0; n < times; n++) {
            Reply reply = deployment.order(instance, key).join();
            boolean truthful = reply.isOk() || reply.execution().equals("may_have_run");
            assertTrue(truthful, () -> "a retry got " + reply);
        }
    }

    @Then("order {string} through instance {int} is rejected as not run")
    public void checkRejected(String key, int instance) {
        Reply reply = deployment.order(instance, key).join();
        assertEquals("not_run", reply.execution(), reply::toString);
        assertEquals(503, reply.status(), reply::toString);
    }
}
