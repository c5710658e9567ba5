package baobabcroft.replica;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.common.Scheduler;
import baobabcroft.external.Backoff;
import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import com.google.common.net.HostAndPort;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Chooses the source of the replica: the store itself, or another instance of the failure domain that polls it.
 *
 * <p>The instances are ranked by {@link SourceRank}. Each follows the highest-ranked one that polls the store and is
 * up to date, and polls the store itself if there is none above it. There is no agreement: if several poll, or none
 * does for a moment, the only effect is more calls or a delay. An instance without contact to the store also follows
 * lower-ranked ones. Not thread-safe.
 */
final class SourceSelector {
    /** Interval at which the source is checked. */
    private static final long REVIEW_MILLIS = 250;
    /** Time without a message after which a followed instance counts as lost: several of its heartbeats. */
    private static final long SILENCE_MILLIS = 1_600;
    /** Time without contact of a followed instance to the store after which this instance calls the store itself. */
    private static final long MAX_NO_CONTACT_MILLIS = 700;
    /**
     * Age of a followed instance's view of the store above which it counts as without contact. A view that a watch
     * confirms is at most 2.1 s old.
     */
    private static final long MAX_VIEW_AGE_MILLIS = 2_200;
    /** Shortest and longest time in which an instance that cannot be followed is not tried again. */
    private static final long MIN_PENALTY_MILLIS = 400;

    private static final long MAX_PENALTY_MILLIS = 30_000;
    /**
     * Delay before an instance that has lost its source polls the store, for each instance ranked above it. The highest
     * one polls first, and the others find it.
     */
    private static final long TAKEOVER_DELAY_MILLIS_PER_RANK = 120;

    private static final long MAX_TAKEOVER_DELAY_MILLIS = 600;

    /** Is told about the followed instance. */
    interface Contact {
        /** Called when an instance is followed from now on. */
        void onFollowing();

        /** Called for each update of the followed instance while that has contact with the store. */
        void onContact();
    }

    private final SourceRank self;
    private final KeyReplica replica;
    private final ViewAge viewAge;
    private final StorePoller poller;
    private final FeedTransport transport;
    private final Scheduler scheduler;
    private final LongSupplier nowMillis;
    private final Contact contact;
    private final Map<String, Member> members = new HashMap<>();
    private final EventLog log = EventLog.of(SourceSelector.class);
    private Optional<Session> followed = Optional.empty();
    private Optional<Session> tried = Optional.empty();

    /** Another instance of the failure domain. */
    private final class Member {
        private final SourceRank rank;
        private final HostAndPort address;
        private final Backoff penalty = new Backoff(MIN_PENALTY_MILLIS, MAX_PENALTY_MILLIS, () -> 1);
        private long notBeforeMillis = Long.MIN_VALUE;

        private Member(SourceRank rank, HostAndPort address) {
            this.rank = rank;
            this.address = address;
        }

        private void onFailed() {
            notBeforeMillis = nowMillis.getAsLong() + penalty.nextDelayMillis();
        }
    }

    /** A connection to a member's feed. */
    private final class Session implements FeedTransport.Observer {
        private final Member member;
        private FeedTransport.Link link = FeedTransport.Link.NONE;
        private long heardAtMillis = nowMillis.getAsLong();
        private long requestedAtMillis = heardAtMillis;
        private long contactAtMillis = heardAtMillis;
        private boolean hasContact;

        private Session(Member member) {
            this.member = member;
        }

        private boolean isCurrent() {
            return isIn(followed) || isIn(tried);
        }

        private boolean isIn(Optional<Session> session) {
            return session.filter(this::equals).isPresent();
        }

        @Override
        public void onUpdate(FeedUpdate update) {
            if (!isCurrent()) {
                return;
            }
            heardAtMillis = nowMillis.getAsLong();
            hasContact = update.contact() && update.ageMillis() <= MAX_VIEW_AGE_MILLIS;
            contactAtMillis = hasContact ? heardAtMillis : contactAtMillis;
            if (!replica.applyUpdate(update)) {
                end(this, "feed out of date");
            } else if (!hasContact && poller.isResponding()) {
                end(this, "no contact with the store");
            } else {
                if (!isIn(followed)) {
                    follow(this);
                }
                viewAge.confirm(requestedAtMillis - update.ageMillis());
                if (hasContact) {
                    contact.onContact();
                }
                pollIfWithoutContact();
                requestedAtMillis = heardAtMillis;
                link.request(replica.position());
            }
        }

        private void pollIfWithoutContact() {
            if (hasContact) {
                poller.stop();
            } else if (poller.isRunning() || nowMillis.getAsLong() - contactAtMillis > MAX_NO_CONTACT_MILLIS) {
                poller.start(StorePoller.Role.STANDBY);
            }
        }

        @Override
        public void onClosed(String reason) {
            if (isCurrent()) {
                end(this, reason);
            }
        }
    }

    SourceSelector(
            SourceRank self,
            KeyReplica replica,
            ViewAge viewAge,
            StorePoller poller,
            FeedTransport transport,
            Scheduler scheduler,
            LongSupplier nowMillis,
            Contact contact) {
        this.self = checkNotNull(self);
        this.replica = checkNotNull(replica);
        this.viewAge = checkNotNull(viewAge);
        this.poller = checkNotNull(poller);
        this.transport = checkNotNull(transport);
        this.scheduler = checkNotNull(scheduler);
        this.nowMillis = checkNotNull(nowMillis);
        this.contact = checkNotNull(contact);
    }

    void start() {
        poller.start(StorePoller.Role.SOURCE);
        scheduler.schedule(REVIEW_MILLIS, this::tick);
    }

    private void tick() {
        review();
        scheduler.schedule(REVIEW_MILLIS, this::tick);
    }

    /** Adds an instance of the failure domain, or changes its address. */
    void putMember(SourceRank rank, HostAndPort address) {
        Member known = members.get(rank.instance());
        boolean changed = known == null || !known.address.equals(address) || !known.rank.equals(rank);
        if (changed && !rank.instance().equals(self.instance())) {
            members.put(rank.instance(), new Member(rank, address));
        }
    }

    void removeMember(String name) {
        members.remove(name);
    }

    /** Called for each response of the store to this instance's polls. */
    void onStoreResponse() {
        followed.filter(session -> !session.hasContact).ifPresent(session -> end(session, "no contact with the store"));
    }

    boolean isFollowing() {
        return followed.isPresent();
    }

    /** Ends silent connections and looks for a better source. */
    void review() {
        long silentSince = nowMillis.getAsLong() - SILENCE_MILLIS;
        followed.filter(session -> session.heardAtMillis < silentSince).ifPresent(session -> end(session, "silent"));
        tried.filter(session -> session.heardAtMillis < silentSince).ifPresent(session -> end(session, "no reply"));
        followed.filter(session -> !session.hasContact).ifPresent(Session::pollIfWithoutContact);
        if (tried.isEmpty() && replica.isLoaded()) {
            candidate().ifPresent(this::open);
        }
    }

    private Optional<Member> candidate() {
        boolean anyRank = followed.isEmpty() && !poller.isResponding();
        SourceRank worst = followed.map(session -> session.member.rank).orElse(self);
        return members.values().stream()
                .filter(member -> member.notBeforeMillis <= nowMillis.getAsLong())
                .filter(member -> anyRank || member.rank.compareTo(worst) < 0)
                .min(Comparator.comparing(member -> member.rank));
    }

    private void open(Member member) {
        Session session = new Session(member);
        tried = Optional.of(session);
        session.link = transport.connect(member.address, replica.position(), session);
    }

    private void follow(Session session) {
        followed.ifPresent(former -> former.link.close());
        followed = Optional.of(session);
        tried = Optional.empty();
        session.member.penalty.reset();
        log.log(LogEvent.REPLICA_SOURCE, session.member.rank.instance(), replica.position());
        contact.onFollowing();
    }

    private void end(Session session, String reason) {
        boolean wasFollowed = session.isIn(followed);
        followed = followed.filter(other -> !other.equals(session));
        tried = tried.filter(other -> !other.equals(session));
        session.link.close();
        session.member.onFailed();
        if (wasFollowed) {
            log.log(LogEvent.REPLICA_SOURCE_LOST, session.member.rank.instance(), reason);
            scheduler.schedule(poller.isResponding() ? 0 : takeoverDelayMillis(), this::pollUnlessFollowing);
        }
        review();
    }

    private long takeoverDelayMillis() {
        long ranksAbove = members.values().stream()
                .filter(member -> member.notBeforeMillis <= nowMillis.getAsLong())
                .filter(member -> member.rank.compareTo(self) < 0)
                .count();
        return Math.min(MAX_TAKEOVER_DELAY_MILLIS, TAKEOVER_DELAY_MILLIS_PER_RANK * ranksAbove);
    }

    private void pollUnlessFollowing() {
        if (followed.isEmpty()) {
            poller.start(StorePoller.Role.SOURCE);
        }
    }
}
