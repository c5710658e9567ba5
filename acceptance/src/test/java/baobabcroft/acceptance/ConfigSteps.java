package baobabcroft.acceptance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.config.ConfigKeys;
import com.google.common.collect.ImmutableList;
import io.cucumber.java.After;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/** Steps that change the rules under load and check where and when the change takes effect. */
public final class ConfigSteps {
    private static final String OLD_VERSION = "film@1";
    private static final String NEW_VERSION = "film@2";

    private final Deployment deployment;
    private final AtomicBoolean loadRunning = new AtomicBoolean(true);
    private final AtomicLong oldVersionChatsSent = new AtomicLong();
    private final List<CompletableFuture<Void>> loads = new ArrayList<>();
    private List<CompletableFuture<Reply>> pendingChats = new ArrayList<>();
    private List<String> submittedRules = List.of();
    private List<Reply> results = List.of();
    private long oldVersionStartsAtAcceptance = -1;

    /** Receives the scenario's deployment from Cucumber. */
    public ConfigSteps(Deployment deployment) {
        this.deployment = deployment;
    }

    /** Stops the background load before the deployment is stopped. */
    @After(order = 20_000)
    public void stopLoad() {
        loadRunning.set(false);
        loads.forEach(CompletableFuture::join);
    }

    @When("chats for both versions are sent continuously through all instances")
    public void startLoad() {
        for (int instance = 1; instance <= deployment.instances().size(); instance++) {
            sendContinuously(instance, OLD_VERSION, oldVersionChatsSent);
            sendContinuously(instance, NEW_VERSION, new AtomicLong());
        }
        Conditions.await(
                "the engines start chats of both versions",
                () -> deployment.starts(OLD_VERSION) > 20 && deployment.starts(NEW_VERSION) > 20);
    }

    private void sendContinuously(int instance, String version, AtomicLong sent) {
        AtomicLong number = new AtomicLong();
        loads.add(CompletableFuture.runAsync(() -> {
            while (loadRunning.get()) {
                deployment
                        .chat(instance, version, "load " + number.incrementAndGet())
                        .join();
                sent.incrementAndGet();
            }
        }));
    }

    @When("{int} chats for the old version are sent to suspended instance {int}")
    public void sendToSuspended(int count, int instance) {
        for (int n = 0; n < count; n++) {
            pendingChats.add(deployment.chat(instance, OLD_VERSION, "waiting " + n));
        }
    }

    @When("the withdrawal of the old version through instance {int} is accepted")
    public void withdraw(int instance) {
        Reply reply =
                deployment.apply(instance, deployment.rules().withdrawn(), 1).join();
        oldVersionStartsAtAcceptance = deployment.starts(OLD_VERSION);
        assertEquals("true", reply.member("accepted"), reply::toString);
    }

    @Then("{int} more chats for the old version are sent and none has been started since the change was accepted")
    public void checkNoStartUnderLoad(int more) {
        long minOldVersionSent = oldVersionChatsSent.get() + more;
        long minNewVersionStarts = deployment.starts(NEW_VERSION) + more;
        Conditions.await(
                "more chats for the old version are sent", () -> oldVersionChatsSent.get() >= minOldVersionSent);
        Conditions.await(
                "the engines start more chats of the new version",
                () -> deployment.starts(NEW_VERSION) >= minNewVersionStarts);
        assertEquals(oldVersionStartsAtAcceptance, deployment.starts(OLD_VERSION), "starts of " + OLD_VERSION);
    }

    @Then("all pending chats are rejected and none has been started since the change was accepted")
    public void checkPendingRejected() {
        pendingChats.stream()
                .map(CompletableFuture::join)
                .forEach(reply -> assertEquals("not_run", reply.execution(), reply::toString));
        assertEquals(oldVersionStartsAtAcceptance, deployment.starts(OLD_VERSION), "starts of " + OLD_VERSION);
    }

    @Then("instance {int} serves the new version again")
    public void checkServesAgain(int instance) {
        Conditions.await(
                "instance " + instance + " serves the new version",
                () -> deployment.chat(instance, NEW_VERSION, "again").join().isOk());
    }

    @When("the store's responses to the next {int} writes are lost and a change is submitted through instance {int}")
    public void applyWithLostReplies(int replies, int instance) {
        deployment.standins().keyValue().loseReplies(replies);
        submittedRules = List.of(deployment.rules().withPaperPrice("0.31"));
        results = List.of(deployment.apply(instance, submittedRules.get(0), 1).join());
    }

    @When("two operators change the rules concurrently through instances {int} and {int}")
    public void applyConcurrently(int first, int second) {
        submittedRules = List.of(
                deployment.rules().withPaperPrice("0.41"), deployment.rules().withPaperPrice("0.42"));
        CompletableFuture<Reply> one = deployment.apply(first, submittedRules.get(0), 1);
        CompletableFuture<Reply> other = deployment.apply(second, submittedRules.get(1), 1);
        results = List.of(one.join(), other.join());
    }

    @Then("one change is accepted and the others are rejected with a conflict")
    public void checkOneAccepted() {
        long accepted = results.stream()
                .filter(reply -> reply.member("accepted").equals("true"))
                .count();
        long conflicts = results.stream()
                .filter(reply -> reply.status() == 409 && reply.code().equals("config_conflict"))
                .count();
        assertEquals(1, accepted, results::toString);
        assertEquals(results.size() - 1, conflicts, results::toString);
    }

    @Then("the store holds the complete accepted change as number {int} and one history entry for each earlier number")
    public void checkStore(int number) {
        int winner = results.get(0).member("accepted").equals("true") ? 0 : 1;
        assertEquals(number, deployment.storedConfig().number());
        assertEquals(submittedRules.get(winner), deployment.storedConfig().rulesText());
        ImmutableList.Builder<String> earlier = ImmutableList.builder();
        for (int n = 1; n < number; n++) {
            earlier.add(ConfigKeys.history(n));
        }
        assertEquals(earlier.build(), deployment.standins().keyValue().keysWithPrefix(ConfigKeys.HISTORY_PREFIX));
    }

    @Then("number {int} is in force on all instances")
    public void checkInForceEverywhere(int number) {
        for (int instance = 1; instance <= deployment.instances().size(); instance++) {
            Reply reply = deployment.currentRules(instance).join();
            assertEquals(Integer.toString(number), reply.member("number"), reply::toString);
            assertTrue(submittedRules.contains(reply.member("text")), reply::toString);
        }
    }
}
