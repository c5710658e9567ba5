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
 * Whether an instance may take new work under the configuration that it has applied.
 *
 * <p>Evidence is a read of the store, or a majority of answered heartbeats, that shows no greater number than the
 * applied one. It lasts for a fixed time from when the question was sent. A start of an instance that has had no
 * authority yet counts for nobody, itself included: a restart forgets what the instance had confirmed. Times are
 * passed in. Not thread-safe.
 */
public final class Authority {
    private final String self;
    private final long freshnessNanos;
    private final Members members;
    private final EvidenceSlot storeReads = new EvidenceSlot();
    private final Map<String, EvidenceSlot> answers = new HashMap<>();
    private long applied;
    private boolean established;

    /**
     * Creates authority that is not fresh.
     *
     * @param self this instance's name
     * @param freshnessNanos how long evidence lasts from when the question was sent, in nanoseconds
     * @param members who makes a majority
     */
    public Authority(String self, long freshnessNanos, Members members) {
        checkArgument(freshnessNanos > 0, "freshnessNanos must be positive, was %s", freshnessNanos);
        this.self = checkNotNull(self);
        this.freshnessNanos = freshnessNanos;
        this.members = checkNotNull(members);
    }

    /**
     * Notes that a greater number is applied.
     *
     * @param number the number
     */
    public void applied(long number) {
        checkArgument(number > applied, "number must exceed %s, was %s", applied, number);
        applied = number;
    }

    /**
     * Notes an answered read of the store.
     *
     * @param sentNanos when the read was sent
     * @param appliedWhenSent what was applied then: a store that shows less has lost writes and proves nothing
     * @param number what the store holds; 0 for nothing
     */
    public void storeAnswered(long sentNanos, long appliedWhenSent, long number) {
        if (number < appliedWhenSent) {
            return;
        }
        storeReads.add(sentNanos, number);
        if (number <= applied) {
            members.storeRead(sentNanos);
        }
    }

    /**
     * Notes a heartbeat answered by a start of a peer that has had authority.
     *
     * @param peer who answered
     * @param sentNanos when the heartbeat was sent
     * @param number what the peer has applied
     */
    public void peerAnswered(String peer, long sentNanos, long number) {
        if (!peer.equals(self)) {
            answers.computeIfAbsent(peer, name -> new EvidenceSlot()).add(sentNanos, number);
        }
    }

    /**
     * Returns until when new work may be taken, by the evidence so far, and notes whether there was any.
     *
     * @param nowNanos the monotonic clock
     * @return the first moment without authority, or empty if there is none now
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
     * Returns whether this start of the instance has had authority.
     *
     * @return whether its answers count for others
     */
    public boolean isEstablished() {
        return established;
    }

    /** When the oldest question was sent of the freshest majority that shows no greater number. */
    private OptionalLong majoritySentNanos(long nowNanos) {
        Quorum quorum = members.authorityQuorum();
        List<Long> sent = new ArrayList<>();
        if (established && quorum.members().contains(self)) {
            sent.add(nowNanos);
        }
        for (String member : quorum.members()) {
            EvidenceSlot slot = answers.get(member);
            if (slot != null) {
                slot.sentNanos(applied).ifPresent(sent::add);
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
