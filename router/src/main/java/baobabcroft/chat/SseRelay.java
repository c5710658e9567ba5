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
    private final boolean passUsage;
    private final StreamObserver observer;

    private SseRelay(String expectedVersion, int choices, boolean passUsage, StreamObserver observer) {
        this.expectedVersion = expectedVersion;
        this.choices = choices;
        this.passUsage = passUsage;
        this.observer = observer;
    }

    /**
     * Returns a relay for one completion.
     *
     * @param expectedVersion full name of the requested version
     * @param choices number of requested choices, at least 1
     * @param passUsage whether to relay events that carry only usage
     * @param observer notified once when the stream ends
     * @return the relay
     */
    public static SseRelay create(String expectedVersion, int choices, boolean passUsage, StreamObserver observer) {
        checkArgument(choices > 0, "choices must be positive, was %s", choices);
        return new SseRelay(checkNotNull(expectedVersion), choices, passUsage, checkNotNull(observer));
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
        private final Queue<ByteString> ready = new ArrayDeque<>();
        private final AsyncCallback<Pair<Optional<String>, Throwable>> released =
                createAsyncCallback(result -> release(result.first(), result.second()));
        private ByteString pending = ByteString.emptyByteString();
        private ByteString held = ByteString.emptyByteString();
        private String answerId = "";
        private int finished;
        private long contentEvents;
        private long countedTokens = -1;
        private boolean done;
        private boolean ended;

        Logic() {
            super(shape);
            setHandler(in, new AbstractInHandler() {
                @Override
                public void onPush() {
                    accept(grab(in));
                }

                @Override
                public void onUpstreamFinish() {
                    finish("the stream ended before it was complete");
                }

                @Override
                public void onUpstreamFailure(Throwable failure) {
                    finish(String.valueOf(failure.getMessage()));
                }
            });
            setHandler(out, new AbstractOutHandler() {
                @Override
                public void onPull() {
                    deliver();
                }

                @Override
                public void onDownstreamFinish(Throwable cause) throws Exception {
                    if (!ended) {
                        ended = true;
                        observer.onCallerLeft(tokens());
                    }
                    super.onDownstreamFinish(cause);
                }
            });
        }

        private long tokens() {
            return countedTokens >= 0 ? countedTokens : contentEvents;
        }

        private void accept(ByteString bytes) {
            if (ended) {
                deliver();
                return;
            }
            pending = pending.concat(bytes);
            int end = eventEnd();
            while (end >= 0 && !ended) {
                ByteString block = pending.take(end);
                pending = pending.drop(end);
                acceptEvent(block);
                end = eventEnd();
            }
            if (!ended && pending.length() > MAX_EVENT_BYTES) {
                breakOff("an event is longer than " + MAX_EVENT_BYTES + " bytes");
            }
            if (!ended && done) {
                finish("[DONE] arrived before all choices finished");
            }
            deliver();
        }

        /** Returns the end offset of the first pending event, or -1 if no event is complete. */
        private int eventEnd() {
            int byLf = pending.indexOfSlice(LF_LF, 0);
            int byCrLf = pending.indexOfSlice(CR_LF_CR_LF, 0);
            if (byLf >= 0 && (byCrLf < 0 || byLf < byCrLf)) {
                return byLf + LF_LF.length();
            }
            return byCrLf < 0 ? -1 : byCrLf + CR_LF_CR_LF.length();
        }

        private void acceptEvent(ByteString block) {
            if (done) {
                return;
            }
            Optional<SseEvent> parsed = SseEvent.parse(block.decodeString(StandardCharsets.UTF_8));
            if (parsed.isEmpty()) {
                breakOff("an event is not a valid chat completion event");
                return;
            }
            SseEvent event = parsed.get();
            if (event.isComment()) {
                return;
            }
            if (event.isDone()) {
                done = true;
                held = held.concat(block);
                return;
            }
            acceptChunk(event, block);
        }

        private void acceptChunk(SseEvent event, ByteString block) {
            if (!isExpected(event)) {
                breakOff("an event belongs to another completion or version");
                return;
            }
            contentEvents += event.hasContent() ? 1 : 0;
            countedTokens = Math.max(countedTokens, event.completionTokens());
            finished += event.finishedChoices();
            if (event.isUsageOnly() && !passUsage) {
                return;
            }
            if (finished >= choices) {
                held = held.concat(block);
            } else {
                ready.add(block);
            }
        }

        private boolean isExpected(SseEvent event) {
            if (!event.model().isEmpty() && !event.model().equals(expectedVersion)) {
                return false;
            }
            if (answerId.isEmpty()) {
                answerId = event.id();
            }
            return event.id().equals(answerId);
        }

        private void deliver() {
            if (isAvailable(out) && !ready.isEmpty()) {
                push(out, ready.poll());
            }
            boolean wanted = ended || isAvailable(out);
            if (wanted && !isClosed(in) && !hasBeenPulled(in)) {
                pull(in);
            }
        }

        private void finish(String reasonIfBroken) {
            if (ended) {
                return;
            }
            if (!done || finished < choices) {
                breakOff(reasonIfBroken);
                return;
            }
            ended = true;
            setKeepGoing(true);
            observer.onWhole(tokens())
                    .whenComplete((error, failure) ->
                            released.invoke(Pair.create(error == null ? Optional.empty() : error, failure)));
        }

        private void release(Optional<String> error, Throwable failure) {
            setKeepGoing(false);
            if (failure != null) {
                emitLast(errorEvent("{\"error\":{\"code\":\"internal\"}}"));
                return;
            }
            emitLast(error.map(this::errorEvent).orElse(held));
        }

        private void breakOff(String reason) {
            ended = true;
            String error = observer.onBroken(tokens(), reason);
            if (!isClosed(in)) {
                cancel(in);
            }
            emitLast(errorEvent(error));
        }

        private ByteString errorEvent(String json) {
            return ByteString.fromString("data: " + json + "\n\n");
        }

        private void emitLast(ByteString last) {
            while (!ready.isEmpty()) {
                emit(out, ready.poll());
            }
            emit(out, last, this::completeStage);
        }
    }
}
