package baobabcroft.standin.engine;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/** Subset of the chat completions API's JSON messages that the stand-in uses. */
final class ChatMessages {
    private static final long CREATED_SECONDS = 1_700_000_000;

    private ChatMessages() {}

    /** Message of a conversation, or the increment of one in a streamed chunk. */
    record Message(String role, String content) {}

    /** Body of a chat completion request. */
    record Request(String model, List<Message> messages, boolean stream, Integer maxTokens, int priority) {
        Request {
            messages = messages == null ? ImmutableList.of() : ImmutableList.copyOf(messages);
        }

        String prompt() {
            return messages.stream()
                    .map(message -> message.role() + ": " + message.content())
                    .collect(Collectors.joining("\n"));
        }
    }

    /** Token usage of a completion. */
    record Usage(int promptTokens, int completionTokens, int totalTokens) {
        static Usage of(int promptTokens, int completionTokens) {
            return new Usage(promptTokens, completionTokens, promptTokens + completionTokens);
        }
    }

    /** Completion choice: a full message, or an increment in a streamed chunk. */
    record Choice(int index, Message message, Message delta, String finishReason) {}

    /** Body of a chat completion response, or one streamed chunk. */
    record Answer(String id, String object, long created, String model, List<Choice> choices, Usage usage) {}

    /** Entry of the model list. */
    record Model(String id, String object) {}

    /** Body of a model list response. */
    record Models(String object, List<Model> data) {}

    static Answer completion(String id, String model, String text, Usage usage) {
        Choice choice = new Choice(0, new Message("assistant", text), null, "stop");
        return new Answer(id, "chat.completion", CREATED_SECONDS, model, ImmutableList.of(choice), usage);
    }

    static Answer chunk(String id, String model, String text) {
        Choice choice = new Choice(0, null, new Message("assistant", text), null);
        return new Answer(id, "chat.completion.chunk", CREATED_SECONDS, model, ImmutableList.of(choice), null);
    }

    static Answer lastChunk(String id, String model, Usage usage) {
        Choice choice = new Choice(0, null, new Message(null, null), "stop");
        return new Answer(id, "chat.completion.chunk", CREATED_SECONDS, model, ImmutableList.of(choice), usage);
    }

    static Models models(Iterable<String> names) {
        ImmutableList.Builder<Model> models = ImmutableList.builder();
        names.forEach(name -> models.add(new Model(name, "model")));
        return new Models("list", models.build());
    }

    static Optional<Integer> maxTokens(Request request) {
        return Optional.ofNullable(request.maxTokens());
    }
}
