package baobabcroft.load;

import baobabcroft.standin.http.StandinJson;
import com.google.common.collect.ImmutableList;
import java.net.http.HttpRequest;
import java.util.List;

/** Builds the requests of a run and checks whether their response bodies are complete. */
final class RequestBuilder {
    private static final String FILLER_WORD = "aperture ";

    private final LoadPlan plan;

    RequestBuilder(LoadPlan plan) {
        this.plan = plan;
    }

    private record Message(String role, String content) {}

    private record ChatBody(String model, List<Message> messages, boolean stream, int maxTokens) {}

    private record ServiceBody(long order) {}

    HttpRequest build(LoadTarget target, long number) {
        HttpRequest.Builder request = HttpRequest.newBuilder(target.url())
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(body(target, number)));
        target.accountKey().ifPresent(key -> request.header("Authorization", "Bearer " + key));
        if (plan.kind() == RequestKind.SERVICE) {
            request.header("Idempotency-Key", "load-" + plan.seed() + "-" + number);
        }
        plan.headers().forEach(request::header);
        return request.build();
    }

    private String body(LoadTarget target, long number) {
        if (plan.kind() == RequestKind.SERVICE) {
            return StandinJson.write(new ServiceBody(number));
        }
        Message message = new Message("user", prompt(number));
        return StandinJson.write(new ChatBody(
                target.model(), ImmutableList.of(message), plan.kind() == RequestKind.STREAM, plan.maxTokens()));
    }

    private String prompt(long number) {
        String filler = FILLER_WORD.repeat(Math.max(0, plan.promptCharacters() / FILLER_WORD.length()));
        return "request " + number + " " + filler;
    }

    boolean isComplete(String body) {
        String trimmed = body.stripTrailing();
        return plan.kind() == RequestKind.STREAM ? trimmed.endsWith("data: [DONE]") : trimmed.endsWith("}");
    }
}
