package baobabcroft.relay;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/** Reads the answers of instances, which are those of endpoints or say that the request was not served. */
record PeerDialect(RequestDialect dialect) implements RequestDialect {
    @Override
    public CallerMetadata readCaller(CallerRequest request) {
        return dialect.readCaller(request);
    }

    @Override
    public Headers toEndpoint(CallerRequest request, ForwardingContext context) {
        return dialect.toEndpoint(request, context);
    }

    @Override
    public Headers toInstance(CallerRequest request, long remainingMillis, OptionalLong resumeAfter) {
        return dialect.toInstance(request, remainingMillis, resumeAfter);
    }

    @Override
    public AnswerMetadata readAnswer(int status, Headers headers) {
        AnswerMetadata answer = dialect.readAnswer(status, headers);
        return new AnswerMetadata(
                ForwardingHeaders.isRejection(headers),
                false,
                false,
                answer.stamped(),
                answer.encoded(),
                OptionalInt.empty(),
                false,
                Optional.empty(),
                Optional.empty(),
                Optional.empty());
    }

    @Override
    public boolean isResponseTo(String requestId, Headers headers) {
        return !dialect.namesRequest(headers) || dialect.isResponseTo(requestId, headers);
    }

    @Override
    public boolean namesRequest(Headers headers) {
        return dialect.namesRequest(headers);
    }

    @Override
    public boolean containsAnswer(byte[] body) {
        return dialect.containsAnswer(body);
    }

    @Override
    public Headers toCaller(Headers headers) {
        return dialect.toCaller(headers);
    }

    @Override
    public int statusOf(Refusal refusal) {
        return dialect.statusOf(refusal);
    }

    @Override
    public Headers headersOf(Refusal refusal) {
        return dialect.headersOf(refusal);
    }
}
