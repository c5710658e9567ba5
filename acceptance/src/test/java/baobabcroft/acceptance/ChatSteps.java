package baobabcroft.acceptance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.standin.fault.FaultKind;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

/** Steps that send chats and check their outcome. */
public final class ChatSteps {
    private static final String MODEL = "paper";
    private static final String VERSION = "paper@1";

    /** Maximum interval between chats sent while an instance shuts down; an engine takes seconds for one. */
    private static final long MAX_CHAT_INTERVAL_MILLIS = 50;

    private final Deployment deployment;
    private final List<CompletableFuture<Reply>> streams = new ArrayList<>();
    private final List<Reply> chatsDuringShutdown = new ArrayList<>();
    private int exitStatus = -1;

    /** Receives the scenario's deployment from Cucumber. */
    public ChatSteps(Deployment deployment) {
        this.deployment = deployment;
    }

    @When("{int} streamed responses have started through instance {int}")
    public void startStreams(int count, int instance) {
        List<CompletableFuture<OpenStream>> heads = IntStream.range(0, count)
                .mapToObj(n -> deployment.streamedChat(instance, MODEL, "stream " + n))
                .toList();
        for (CompletableFuture<OpenStream> head : heads) {
            streams.add(head.join().completion());
        }
    }

    @When("chats are sent through instance {int} until its process has exited")
    public void sendUntilExit(int instance) {
        List<CompletableFuture<Reply>> sent = new ArrayList<>();
        for (int n = 0; deployment.instance(instance).isRunning(); n++) {
            CompletableFuture<Reply> chat = deployment.chat(instance, MODEL, "late " + n);
            sent.add(chat);
            awaitAtMost(chat, MAX_CHAT_INTERVAL_MILLIS);
        }
        exitStatus = deployment.instance(instance).awaitExit();
        sent.forEach(chat -> chatsDuringShutdown.add(chat.join()));
    }

    /**
     * Bounds the wait for a chat. Otherwise a single chat that is served to completion could last for the whole drain,
     * and no later chat would reach the instance while it rejects new requests.
     */
    private static void awaitAtMost(CompletableFuture<Reply> chat, long millis) {
        chat.thenApply(reply -> true)
                .completeOnTimeout(false, millis, TimeUnit.MILLISECONDS)
                .join();
    }

    @Then("the process has exited with status {int}")
    public void checkExitStatus(int status) {
        assertEquals(status, exitStatus);
    }

    @Then("every started stream is complete")
    public void checkStreams() {
        streams.stream().map(CompletableFuture::join).forEach(reply -> {
            assertEquals(200, reply.status(), reply::toString);
            assertTrue(reply.body().stripTrailing().endsWith("data: [DONE]"), reply::toString);
        });
    }

    @Then("every later chat was answered, rejected as not run, or got no response")
    public void checkChatsDuringShutdown() {
        assertTrue(
                chatsDuringShutdown.stream().anyMatch(reply -> reply.execution().equals("not_run")),
                chatsDuringShutdown::toString);
        chatsDuringShutdown.forEach(reply ->
                assertTrue(reply.isOk() || reply.isLost() || reply.execution().equals("not_run"), reply::toString));
    }

    @Then("the engines have started exactly as many chats as clients got complete responses")
    public void checkStarts() {
        long completeResponses = streams.size()
                + chatsDuringShutdown.stream().filter(Reply::isOk).count();
        assertEquals(completeResponses, deployment.starts(VERSION), "chats started by the engines");
    }

    @Then("{int} chats through instance {int} are answered")
    public void checkChats(int count, int instance) {
        long before = deployment.starts(VERSION);
        for (int n = 0; n < count; n++) {
            Reply reply = deployment.chat(instance, MODEL, "chat " + n).join();
            assertTrue(reply.isOk(), reply::toString);
        }
        assertEquals(before + count, deployment.starts(VERSION), "chats started by the engines");
    }

    @Given("every engine that runs {string} crashes and is down for {long} ms")
    public void crashEnginesOn(String text, long outageMillis) {
        deployment.standins().engines().values().forEach(engine -> {
            engine.faults().crashOn(text);
            engine.faults().setOutageMillis(outageMillis);
        });
    }

    @When("chat {string} is sent {int} times, round-robin through all instances")
    public void sendRoundRobin(String text, int times) {
        int instances = deployment.instances().size();
        for (int n = 0; n < times; n++) {
            Reply reply = deployment.chat(1 + n % instances, MODEL, text).join();
            assertFalse(reply.isOk(), reply::toString);
        }
    }

    @Then("at most {int} engines have crashed")
    public void checkCrashes(int most) {
        long lost = deployment.standins().engines().values().stream()
                .mapToLong(engine -> engine.counters().faults().getOrDefault(FaultKind.CRASH, 0L))
                .sum();
        assertTrue(lost <= most, () -> "engines crashed " + lost + " times");
    }
}
