package baobabcroft.chat;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import org.apache.pekko.japi.Pair;
import org.apache.pekko.stream.Attributes;
import org.apache.pekko.stream.FlowShape;
import org.apache.pekko.stream.Inlet;
import org.apache.pekko.stream.Outlet;
import org.apache.pekko.stream.stage.AbstractInHandler;
import org.apache.pekko.stream.stage.AbstractOutHandler;
import org.apache.pekko.stream.stage.AsyncCallback;
import org.apache.pekko.stream.stage.GraphStage;
import org.apache.pekko.stream.stage.GraphStageLogic;
import org.apache.pekko.util.ByteString;

/**
 * Relays a streamed chat completion event by event, and holds back its final events until the observer releases them.
 *
 * <p>All events must belong to the same completion and come from the expected version. A completion is complete when
 * all choices have finished and the {@code [DONE]} event has arrived. Only the events from the one that finishes the
 * last choice onwards are held back, so the relay never buffers the whole completion. Immutable; each materialization
 * has its own state.
 */
public final class SseRelay extends GraphStage<FlowShape<ByteString, ByteString>> {
    private static final int MAX_EVENT_BYTES = 1 << 20;
    private static final ByteString LF_LF = ByteString.fromString("\n\n");
    private static final ByteString CR_LF_CR_LF = ByteString.fromString("\r\n\r\n");

    private final Inlet<ByteString> in = Inlet.create("SseRelay.in");
    private final Outlet<ByteString> out = Outlet.create("SseRelay.out");
    private final FlowShape<ByteString, ByteString> shape = FlowShape.of(in, out);
    private final String expectedVersion;
    private final int choices;
    private final boolean relayUsage;
    private final StreamObserver observer;

    private SseRelay(String expectedVersion, int choices, boolean relayUsage, StreamObserver observer) {
        this.expectedVersion = expectedVersion;
        this.choices = choices;
        this.relayUsage = relayUsage;
        this.observer = observer;
    }

    /**
     * Returns a relay for one completion.
     *
     * @param expectedVersion full name of the requested version
     * @param choices number of requested choices, at least 1
     * @param relayUsage whether to relay events that carry only usage
     * @param observer notified once when the stream ends
     * @return the relay
     */
    public static SseRelay create(String expectedVersion, int choices, boolean relayUsage, StreamObserver observer) {
        checkArgument(choices > 0, "choices must be positive, was %s", choices);
        return new SseRelay(checkNotNull(expectedVersion), choices, relayUsage, checkNotNull(observer));
    }

    @Override
    public FlowShape<ByteString, ByteString> shape() {
        return shape;
    }

    @Override
    public GraphStageLogic createLogic(Attributes attributes) {
        return new Logic();
    }

    private final class Logic extends GraphStageLogic {
        private final Queue<ByteString> outgoing = new ArrayDeque<>();
        private final AsyncCallback<Pair<Optional<String>, Throwable>> onReleased =
                createAsyncCallback(result -> emitReleased(result.first(), result.second()));
        private ByteString buffer = ByteString.emptyByteString();
        private ByteString heldEvents = ByteString.emptyByteString();
        private String completionId = "";
        private int finishedChoices;
        private long contentEvents;
        private long reportedTokens = -1;
        private boolean doneReceived;
        private boolean terminated;

        Logic() {
            super(shape);
            setHandler(in, new AbstractInHandler() {
                @Override
                public void onPush() {
                    processBytes(grab(in));
                }

                @Override
                public void onUpstreamFinish() {
                    completeOrFail("the stream ended before it was complete");
                }

                @Override
                public void onUpstreamFailure(Throwable failure) {
                    completeOrFail(String.valueOf(failure.getMessage()));
                }
            });
            setHandler(out, new AbstractOutHandler() {
                @Override
                public void onPull() {
                    pushAndPull();
                }

                @Override
                public void onDownstreamFinish(Throwable cause) throws Exception {
                    if (!terminated) {
                        terminated = true;
                        observer.onCancelled(tokens());
                    }
                    super.onDownstreamFinish(cause);
                }
            });
        }

        private long tokens() {
            return reportedTokens >= 0 ? reportedTokens : contentEvents;
        }

        private void processBytes(ByteString bytes) {
            if (terminated) {
                pushAndPull();
                return;
            }
            buffer = buffer.concat(bytes);
            int end = nextEventEnd();
            while (end >= 0 && !terminated) {
                ByteString block = buffer.take(end);
                buffer = buffer.drop(end);
                processEvent(block);
                end = nextEventEnd();
            }
            if (!terminated && buffer.length() > MAX_EVENT_BYTES) {
                failStream("an event is longer than " + MAX_EVENT_BYTES + " bytes");
            }
            if (!terminated && doneReceived) {
                completeOrFail("[DONE] arrived before all choices finished");
            }
            pushAndPull();
        }

        /** Returns the end offset of the first buffered event, or -1 if no event is complete. */
        private int nextEventEnd() {
            int byLf = buffer.indexOfSlice(LF_LF, 0);
            int byCrLf = buffer.indexOfSlice(CR_LF_CR_LF, 0);
            if (byLf >= 0 && (byCrLf < 0 || byLf < byCrLf)) {
                return byLf + LF_LF.length();
            }
            return byCrLf < 0 ? -1 : byCrLf + CR_LF_CR_LF.length();
        }

        private void processEvent(ByteString block) {
            if (doneReceived) {
                return;
            }
            Optional<SseEvent> parsed = SseEvent.parse(block.decodeString(StandardCharsets.UTF_8));
            if (parsed.isEmpty()) {
                failStream("an event is not a valid chat completion event");
                return;
            }
            SseEvent event = parsed.get();
            if (event.isComment()) {
                return;
            }
            if (event.isDone()) {
                doneReceived = true;
                heldEvents = heldEvents.concat(block);
                return;
            }
            processChunk(event, block);
        }

        private void processChunk(SseEvent event, ByteString block) {
            if (!isExpected(event)) {
                failStream("an event belongs to another completion or version");
                return;
            }
            contentEvents += event.hasContent() ? 1 : 0;
            reportedTokens = Math.max(reportedTokens, event.completionTokens());
            finishedChoices += event.finishedChoices();
            if (event.isUsageOnly() && !relayUsage) {
                return;
            }
            if (finishedChoices >= choices) {
                heldEvents = heldEvents.concat(block);
            } else {
                outgoing.add(block);
            }
        }

        private boolean isExpected(SseEvent event) {
            if (!event.model().isEmpty() && !event.model().equals(expectedVersion)) {
                return false;
            }
            if (completionId.isEmpty()) {
                completionId = event.id();
            }
            return event.id().equals(completionId);
        }

        private void pushAndPull() {
            if (isAvailable(out) && !outgoing.isEmpty()) {
                push(out, outgoing.poll());
            }
            boolean demand = terminated || isAvailable(out);
            if (demand && !isClosed(in) && !hasBeenPulled(in)) {
                pull(in);
            }
        }

        private void completeOrFail(String failureReason) {
            if (terminated) {
                return;
            }
            if (!doneReceived || finishedChoices < choices) {
                failStream(failureReason);
                return;
            }
            terminated = true;
            setKeepGoing(true);
            observer.onComplete(tokens())
                    .whenComplete((error, failure) ->
                            onReleased.invoke(Pair.create(error == null ? Optional.empty() : error, failure)));
        }

        private void emitReleased(Optional<String> error, Throwable failure) {
            setKeepGoing(false);
            if (failure != null) {
                emitLast(errorEvent("{\"error\":{\"code\":\"internal\"}}"));
                return;
            }
            emitLast(error.map(this::errorEvent).orElse(heldEvents));
        }

        private void failStream(String reason) {
            terminated = true;
            String error = observer.onFailure(tokens(), reason);
            if (!isClosed(in)) {
                cancel(in);
            }
            emitLast(errorEvent(error));
        }

        private ByteString errorEvent(String json) {
            return ByteString.fromString("data: " + json + "\n\n");
        }

        private void emitLast(ByteString last) {
            while (!outgoing.isEmpty()) {
                emit(out, outgoing.poll());
            }
            emit(out, last, this::completeStage);
        }
    }
}
