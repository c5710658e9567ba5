package baobabcroft.config;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.membership.Members;
import baobabcroft.membership.Quorum;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Determines whether an instance may accept new work under the configuration that it has applied.
 *
 * <p>Authority requires evidence: a read of the store, or heartbeat responses from a majority, that shows no greater
 * number than the applied one. Evidence expires a fixed time after its request was sent. An incarnation that
 * has not had authority yet counts towards no majority, not even its own, because a restarted instance has lost the
 * numbers that it confirmed. Times are passed in. Not thread-safe.
 */
public final class Authority {
    private final String self;
    private final long freshnessNanos;
    private final Members members;
    private final SourceEvidence storeReads = new SourceEvidence();
    private final Map<String, SourceEvidence> answers = new HashMap<>();
    private long applied;
    private boolean established;

    /**
     * Creates an authority without evidence.
     *
     * @param self name of this instance
     * @param freshnessNanos lifetime of evidence from the time its request was sent, in nanoseconds
     * @param members the instances over which majorities are counted
     */
    public Authority(String self, long freshnessNanos, Members members) {
        checkArgument(freshnessNanos > 0, "freshnessNanos must be positive, was %s", freshnessNanos);
        this.self = checkNotNull(self);
        this.freshnessNanos = freshnessNanos;
        this.members = checkNotNull(members);
    }

    /**
     * Records that a configuration was applied.
     *
     * @param number its number, greater than the previous one
     */
    public void recordApplied(long number) {
        checkArgument(number > applied, "number must exceed %s, was %s", applied, number);
        applied = number;
    }

    /**
     * Records a successful read of the store.
     *
     * @param sentNanos time at which the read was sent, in nanoseconds
     * @param appliedWhenSent number applied at that time; a smaller number in the store means that the store has lost
     *     writes, and the read is ignored
     * @param number number in the store; 0 if there is none
     */
    public void recordStoreRead(long sentNanos, long appliedWhenSent, long number) {
        if (number < appliedWhenSent) {
            return;
        }
        storeReads.add(sentNanos, number);
        if (number <= applied) {
            members.recordStoreRead(sentNanos);
        }
    }

    /**
     * Records the heartbeat response of a peer whose incarnation has had authority.
     *
     * @param peer name of the peer
     * @param sentNanos time at which the heartbeat was sent, in nanoseconds
     * @param number number that the peer has applied
     */
    public void recordPeerResponse(String peer, long sentNanos, long number) {
        if (!peer.equals(self)) {
            answers.computeIfAbsent(peer, name -> new SourceEvidence()).add(sentNanos, number);
        }
    }

    /**
     * Returns when the authority expires by the evidence so far, and records if there is authority.
     *
     * @param nowNanos monotonic time, in nanoseconds
     * @return the expiry, in monotonic nanoseconds, or empty if there is no authority
     */
    public OptionalLong freshUntilNanos(long nowNanos) {
        if (applied == 0) {
            return OptionalLong.empty();
        }
        OptionalLong sent = latest(storeReads.sentNanos(applied), majoritySentNanos(nowNanos));
        if (sent.isEmpty() || nowNanos - sent.getAsLong() >= freshnessNanos) {
            return OptionalLong.empty();
        }
        established = true;
        return OptionalLong.of(sent.getAsLong() + freshnessNanos);
    }

    /**
     * Returns whether this incarnation of the instance has had authority.
     *
     * @return whether its heartbeat responses count towards majorities of other instances
     */
    public boolean isEstablished() {
        return established;
    }

    /** Returns the send time of the oldest request in the most recent majority that reports no greater number. */
    private OptionalLong majoritySentNanos(long nowNanos) {
        Quorum quorum = members.authorityQuorum();
        List<Long> sent = new ArrayList<>();
        if (established && quorum.members().contains(self)) {
            sent.add(nowNanos);
        }
        for (String member : quorum.members()) {
            SourceEvidence evidence = answers.get(member);
            if (evidence != null) {
                evidence.sentNanos(applied).ifPresent(sent::add);
            }
        }
        if (sent.size() < quorum.size()) {
            return OptionalLong.empty();
        }
        sent.sort(Comparator.reverseOrder());
        return OptionalLong.of(sent.get(quorum.size() - 1));
    }

    private static OptionalLong latest(OptionalLong one, OptionalLong other) {
        if (one.isEmpty()) {
            return other;
        }
        if (other.isEmpty()) {
            return one;
        }
        return OptionalLong.of(Math.max(one.getAsLong(), other.getAsLong()));
    }
}
