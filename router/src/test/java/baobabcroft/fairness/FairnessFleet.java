package baobabcroft.fairness;

import baobabcroft.fake.VirtualTime;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Instances that send requests of 24 accounts and three kinds to one service, in virtual time. Notices are up to 60 ms
 * late within a failure domain, half a second old between them, and a tenth is lost. The slots of the service take
 * requests in the order of their arrival; one that does not start within its goal is not served.
 */
final class FairnessFleet {
    static final int ACCOUNTS = 24;
    static final int KINDS = 3;
    private static final String SERVICE = "service";
    private static final int DOMAINS = 3;
    private static final int SLOTS = 120;
    private static final long MEAN_SERVICE_MILLIS = 500;
    private static final long GOAL_MILLIS = 1_000;
    private static final long STEP_MILLIS = 5;

    /** Decides whether an instance admits a request. */
    interface Policy {
        boolean admits(Instance instance, FairRequest request);
    }

    /** The former policy: everything is sent. */
    static final Policy NO_CONTROL = (instance, request) -> true;
    /** A plain baseline: refuses whatever comes while the slots are full, as far as the instance knows. */
    static final Policy REFUSE_WHEN_FULL =
            (instance, request) -> instance.serviceUse().occupancy() < 1;

    static final Policy FAIR =
            (instance, request) -> instance.admission.refusalMillis(request).isEmpty();

    /** Arrivals a second of one kind of one account at a time since the start. */
    interface Load {
        double perSecond(int account, int kind, long atMillis);
    }

    /** Offered and served requests of an account or a kind. */
    static final class Share {
        int offered;
        int served;

        double served() {
            return offered == 0 ? 1 : (double) served / offered;
        }
    }

    private record Arrival(long atMillis, int account, int kind, FairAdmission.Admitted admitted) {}

    final class Instance {
        private final int domain;
        private final AccountUses uses = AccountUses.create(time::nowMillis);
        private final Map<String, Integer> reportedInFlight = new HashMap<>();
        private final FairAdmission admission = FairAdmission.create(
                time::nowMillis, uses, service -> serviceUse(), service -> weights, (request, above, occupancy) -> {});
        private int inFlight;

        private Instance(int domain) {
            this.domain = domain;
        }

        private ServiceUse serviceUse() {
            int others = reportedInFlight.values().stream()
                    .mapToInt(Integer::intValue)
                    .sum();
            return new ServiceUse(slots, inFlight + others, 0, 0);
        }

        private void arrive(int account, int kind, Policy policy) {
            FairRequest request =
                    new FairRequest(SERVICE, "account-" + account, weight(account), (double) kind / KINDS, 0);
            boolean admitted = policy.admits(this, request);
            if (isMeasured()) {
                byAccount.get(account).offered++;
                byKind.get(kind).offered++;
            }
            if (!admitted) {
                refusedWithHalfFree |= inFlightNow < slots / 2;
                return;
            }
            inFlight++;
            inFlightNow++;
            FairAdmission.Admitted use = admission.start(request);
            waiting.add(new Arrival(time.nowMillis(), account, kind, () -> {
                inFlight--;
                inFlightNow--;
                use.end();
            }));
            startWaiting();
        }

        private void sendNotices(int index) {
            if (time.nowMillis() % 50 == 0) {
                Map<AccountSubject, AccountUse> report = admission.ownReport();
                int count = inFlight;
                long number = sequence++;
                deliver(true, peer -> {
                    peer.uses.updateInstance("i" + index, number, report);
                    peer.reportedInFlight.put("i" + index, count);
                });
            }
            if (time.nowMillis() % 500 == 0 && index < DOMAINS) {
                Map<AccountSubject, AccountUse> report = admission.domainReport();
                int count = fleet.stream()
                        .filter(peer -> peer.domain == domain)
                        .mapToInt(peer -> peer.inFlight)
                        .sum();
                deliver(false, peer -> {
                    peer.uses.updateFailureDomain("d" + domain, report);
                    peer.reportedInFlight.put("d" + domain, count);
                });
            }
        }

        private void deliver(boolean sameDomain, Consumer<Instance> notice) {
            for (Instance peer : fleet) {
                if (peer != this && (peer.domain == domain) == sameDomain && random.nextDouble() >= 0.1) {
                    time.scheduler().schedule(random.nextInt(60), () -> notice.accept(peer));
                }
            }
        }
    }

    final List<Share> byAccount = new ArrayList<>();
    final List<Share> byKind = new ArrayList<>();
    boolean refusedWithHalfFree;
    private final VirtualTime time = new VirtualTime();
    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(11);
    private final List<Instance> fleet = new ArrayList<>();
    private final Deque<Arrival> waiting = new ArrayDeque<>();
    private final Map<AccountSubject, Double> weights = new HashMap<>();
    private final double firstWeight;
    private int slots = SLOTS;
    private int busy;
    private int inFlightNow;
    private long sequence;
    private long measuredFromMillis;
    private long measuredUntilMillis;

    FairnessFleet(int instances, double firstWeight) {
        this.firstWeight = firstWeight;
        for (int account = 0; account < ACCOUNTS; account++) {
            byAccount.add(new Share());
            weights.put(AccountSubject.of(SERVICE, "account-" + account), weight(account));
        }
        for (int kind = 0; kind < KINDS; kind++) {
            byKind.add(new Share());
        }
        for (int i = 0; i < instances; i++) {
            fleet.add(new Instance(i % DOMAINS));
        }
    }

    /** Returns the requests a second that the slots serve. */
    static double capacityPerSecond() {
        return SLOTS * 1_000.0 / MEAN_SERVICE_MILLIS;
    }

    private double weight(int account) {
        return account == 0 ? firstWeight : 1;
    }

    private boolean isMeasured() {
        return time.nowMillis() >= measuredFromMillis && time.nowMillis() < measuredUntilMillis;
    }

    /** Plays a load and counts the requests that arrive in a time; a sixth of the slots may leave at its beginning. */
    void play(Policy policy, Load load, long fromMillis, long untilMillis, boolean loseSixth) {
        measuredFromMillis = fromMillis;
        measuredUntilMillis = untilMillis;
        for (long now = 0; now < untilMillis + GOAL_MILLIS; now += STEP_MILLIS) {
            slots = loseSixth && now >= fromMillis ? SLOTS - SLOTS / 6 : SLOTS;
            for (int account = 0; account < ACCOUNTS; account++) {
                for (int kind = 0; kind < KINDS; kind++) {
                    double due = load.perSecond(account, kind, now) * STEP_MILLIS / 1_000;
                    for (; random.nextDouble() < due; due--) {
                        fleet.get(random.nextInt(fleet.size())).arrive(account, kind, policy);
                    }
                }
            }
            for (int i = 0; i < fleet.size(); i++) {
                fleet.get(i).sendNotices(i);
            }
            time.advance(STEP_MILLIS);
        }
    }

    private void startWaiting() {
        while (busy < slots && !waiting.isEmpty()) {
            Arrival arrival = waiting.remove();
            if (time.nowMillis() - arrival.atMillis() > GOAL_MILLIS) {
                arrival.admitted().end();
                continue;
            }
            if (arrival.atMillis() >= measuredFromMillis && arrival.atMillis() < measuredUntilMillis) {
                byAccount.get(arrival.account()).served++;
                byKind.get(arrival.kind()).served++;
            }
            busy++;
            time.scheduler().schedule((long) (MEAN_SERVICE_MILLIS * (0.5 + random.nextDouble())), () -> {
                busy--;
                arrival.admitted().end();
                startWaiting();
            });
        }
    }

    /** Returns the least served share of accounts from a number on. */
    double leastServedFrom(int account) {
        return byAccount.subList(account, ACCOUNTS).stream()
                .mapToDouble(Share::served)
                .min()
                .orElseThrow();
    }

    /** Returns the served share of all requests of accounts from a number on. */
    double servedFrom(int account) {
        List<Share> shares = byAccount.subList(account, ACCOUNTS);
        return (double) shares.stream().mapToInt(share -> share.served).sum()
                / shares.stream().mapToInt(share -> share.offered).sum();
    }

    /** Returns the served share of all requests. */
    double served() {
        return (double) byKind.stream().mapToInt(kind -> kind.served).sum()
                / byKind.stream().mapToInt(kind -> kind.offered).sum();
    }
}
