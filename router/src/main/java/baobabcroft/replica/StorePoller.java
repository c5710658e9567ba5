package baobabcroft.replica;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.common.Scheduler;
import baobabcroft.external.Backoff;
import baobabcroft.replica.StoreCalls.Changes;
import baobabcroft.replica.StoreCalls.ChangesTooLarge;
import baobabcroft.replica.StoreCalls.Freshness;
import baobabcroft.replica.StoreCalls.HistoryGone;
import baobabcroft.replica.StoreCalls.NoReply;
import baobabcroft.replica.StoreCalls.Page;
import baobabcroft.replica.StoreCalls.PageReply;
import baobabcroft.replica.StoreCalls.WatchReply;
import com.google.common.collect.Iterables;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;

/**
 * Keeps a replica up to date by polling the store: all keys once, then the changes. Reads all keys again if the store
 * lacks the history, or returns in a later era. Not thread-safe.
 */
final class StorePoller {
    /** Delay between a response and the next watch, in which changes are batched. */
    private static final long BATCH_MILLIS = 300;
    /**
     * Delay before a watch plus its longest wait at the store. A store that did not respond for a while may have lost a
     * watch, and one that is cut off notices it only when the wait is over: instances that follow it have to find
     * another source, and apply a change, within the shortest bound on changes of 3 s.
     */
    private static final long WATCH_ROUND_MILLIS = 1_200;
    /** Wait of a watch that only confirms that the store responds. */
    private static final long CONFIRMATION_WAIT_MILLIS = 1;
    /** Delay between the first read and the first watch, in which another instance may be found to follow. */
    private static final long FIRST_WATCH_DELAY_MILLIS = 600;

    /** Changes up to this size are received even if all keys together are smaller. */
    private static final long MIN_CHANGES_BYTES = 64 << 10;

    private static final long MIN_BACKOFF_MILLIS = 100;
    private static final long MAX_BACKOFF_MILLIS = 1_000;
    /** Delays after failures while another instance is followed that has no contact with the store either. */
    private static final long STANDBY_BACKOFF_MILLIS = 2_000;

    /** Whether other instances depend on this one's polls. */
    enum Role {
        /** The replica of this instance, and of those that follow it, depends on its polls. */
        SOURCE,
        /** The followed instance has lost contact with the store; polls only find out whether the store is back. */
        STANDBY
    }

    /** Receives the state of the contact with the store. */
    interface Contact {
        /** Called for each usable response. */
        void onResponse();

        /** Called after contents or changes were applied to the replica. */
        void onApplied();

        /** Called when a watch that waited got no response in time; the next call shows whether the store responds. */
        void onSilence();

        /** Called for each other call without a usable response. */
        void onFailure(String reason);
    }

    private final StoreCalls calls;
    private final KeyReplica replica;
    private final ViewAge viewAge;
    private final Scheduler scheduler;
    private final LongSupplier nowMillis;
    private final Backoff sourceBackoff;
    private final Backoff standbyBackoff;
    private final Contact contact;
    private Optional<Role> role = Optional.empty();
    /** Number of the current loop; replies to calls of an earlier one are ignored. */
    private int loop;

    private long highestEra;
    private boolean responding;
    /** Whether the next call waits for the backoff after a failure. */
    private boolean backingOff;

    StorePoller(
            StoreCalls calls,
            KeyReplica replica,
            ViewAge viewAge,
            Scheduler scheduler,
            LongSupplier nowMillis,
            DoubleSupplier random,
            Contact contact) {
        this.calls = checkNotNull(calls);
        this.replica = checkNotNull(replica);
        this.viewAge = checkNotNull(viewAge);
        this.scheduler = checkNotNull(scheduler);
        this.nowMillis = checkNotNull(nowMillis);
        this.sourceBackoff = new Backoff(MIN_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS, random);
        this.standbyBackoff = new Backoff(STANDBY_BACKOFF_MILLIS, STANDBY_BACKOFF_MILLIS, random);
        this.contact = checkNotNull(contact);
    }

    /** Starts polling, from the replica's position if it is loaded, or changes the role of the polls. */
    void start(Role newRole) {
        boolean wasRunning = isRunning();
        boolean wasStandby = wasRunning && !isSource();
        role = Optional.of(newRole);
        if (!wasRunning) {
            sourceBackoff.reset();
            standbyBackoff.reset();
            continueFrom(Freshness.STALE_ALLOWED);
        } else if (wasStandby && isSource() && backingOff) {
            backOff();
        }
    }

    /** Stops polling. */
    void stop() {
        role = Optional.empty();
        responding = false;
        loop++;
    }

    boolean isRunning() {
        return role.isPresent();
    }

    /** Returns whether other instances may follow this one. */
    boolean isSource() {
        return role.equals(Optional.of(Role.SOURCE));
    }

    /** Returns whether the last call was answered. A watch that was cut while it waited does not count. */
    boolean isResponding() {
        return responding;
    }

    /** Notes the era of any response of the store. A later era makes the current watch obsolete. */
    void noteEra(long era) {
        if (era > highestEra) {
            highestEra = era;
            if (isRunning() && replica.isLoaded() && replica.position().era() < era) {
                readAll(Freshness.CURRENT);
            }
        }
    }

    private void continueFrom(Freshness firstRead) {
        if (replica.isLoaded() && replica.position().era() >= highestEra) {
            watch();
        } else {
            readAll(replica.isLoaded() ? Freshness.CURRENT : firstRead);
        }
    }

    private void readAll(Freshness freshness) {
        loop++;
        backingOff = false;
        readPage(new FullRead(freshness, nowMillis.getAsLong()), Optional.empty());
    }

    /** The pages of one read of all keys. */
    private static final class FullRead {
        private final Freshness freshness;
        private final long startedAtMillis;
        private final List<StoreEntry> entries = new ArrayList<>();
        /** Position of the first page; later pages may show later changes. */
        private Optional<StoreRevision> oldest = Optional.empty();

        private FullRead(Freshness freshness, long startedAtMillis) {
            this.freshness = freshness;
            this.startedAtMillis = startedAtMillis;
        }
    }

    private void readPage(FullRead read, Optional<String> afterKey) {
        int call = loop;
        calls.readPage(afterKey, read.freshness, reply -> {
            if (call == loop && isRunning()) {
                onPage(reply, read);
            }
        });
    }

    private void onPage(PageReply reply, FullRead read) {
        if (!(reply instanceof Page page)) {
            retryLater(((NoReply) reply).reason());
            return;
        }
        onResponse();
        highestEra = Math.max(highestEra, page.position().era());
        boolean otherEra = page.position().era() < highestEra
                || read.oldest
                        .filter(first -> first.era() != page.position().era())
                        .isPresent();
        if (otherEra) {
            retryLater("page of an earlier era");
            return;
        }
        read.entries.addAll(page.entries());
        StoreRevision position =
                read.oldest.filter(first -> page.position().isAfter(first)).orElse(page.position());
        read.oldest = Optional.of(position);
        if (page.truncated() && !page.entries().isEmpty()) {
            readPage(read, Optional.of(Iterables.getLast(page.entries()).key()));
            return;
        }
        boolean first = !replica.isLoaded();
        if (replica.applySnapshot(position, read.entries)) {
            if (read.freshness == Freshness.CURRENT) {
                viewAge.confirm(read.startedAtMillis);
            }
            contact.onApplied();
            scheduleIfCurrent(first ? FIRST_WATCH_DELAY_MILLIS : BATCH_MILLIS, this::watch);
        } else {
            retryLater("contents older than the replica");
        }
    }

    private void watch() {
        watch(responding ? WATCH_ROUND_MILLIS - BATCH_MILLIS : CONFIRMATION_WAIT_MILLIS);
    }

    private void watch(long waitMillis) {
        int call = ++loop;
        backingOff = false;
        StoreRevision after = replica.position();
        long sentAtMillis = nowMillis.getAsLong();
        // A watch returns each value since, however often it was replaced; a read returns the newest ones only.
        long maxBytes = Math.max(MIN_CHANGES_BYTES, replica.sizeBytes());
        calls.watch(after.number(), waitMillis, maxBytes, reply -> {
            if (call == loop && isRunning()) {
                onWatched(after, reply, sentAtMillis, waitMillis);
            }
        });
    }

    private void onWatched(StoreRevision after, WatchReply reply, long sentAtMillis, long waitMillis) {
        if (reply instanceof NoReply none) {
            onWatchUnanswered(none, sentAtMillis, waitMillis);
            return;
        }
        onResponse();
        if (reply instanceof HistoryGone || reply instanceof ChangesTooLarge) {
            readAll(Freshness.CURRENT);
            return;
        }
        Changes changes = (Changes) reply;
        long era = changes.position().era();
        if (era < after.era()) {
            retryLater("changes of an earlier era");
        } else if (era > after.era()) {
            highestEra = Math.max(highestEra, era);
            readAll(Freshness.CURRENT);
        } else {
            replica.applyChanges(changes.position(), changes.changes());
            // Without changes the store has waited; with changes the response may have taken long to arrive.
            long waitedMillis = changes.changes().isEmpty() ? waitMillis : 0;
            viewAge.confirm(Math.min(nowMillis.getAsLong(), sentAtMillis + waitedMillis));
            contact.onApplied();
            scheduleIfCurrent(BATCH_MILLIS, this::watch);
        }
    }

    /**
     * The store may cut or forget a watch that waits. Only a call that it answers at once shows whether it responds.
     */
    private void onWatchUnanswered(NoReply reply, long sentAtMillis, long waitMillis) {
        if (waitMillis == CONFIRMATION_WAIT_MILLIS) {
            retryLater(reply.reason());
            return;
        }
        if (nowMillis.getAsLong() - sentAtMillis >= waitMillis) {
            responding = false;
            contact.onSilence();
        }
        watch(CONFIRMATION_WAIT_MILLIS);
    }

    private void onResponse() {
        sourceBackoff.reset();
        standbyBackoff.reset();
        responding = true;
        contact.onResponse();
    }

    private void retryLater(String reason) {
        responding = false;
        contact.onFailure(reason);
        backOff();
    }

    private void backOff() {
        Backoff backoff = isSource() ? sourceBackoff : standbyBackoff;
        backingOff = true;
        scheduleIfCurrent(backoff.nextDelayMillis(), () -> continueFrom(Freshness.CURRENT));
    }

    private void scheduleIfCurrent(long delayMillis, Runnable task) {
        int current = ++loop;
        scheduler.schedule(delayMillis, () -> {
            if (current == loop && isRunning()) {
                task.run();
            }
        });
    }
}
