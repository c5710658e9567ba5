package baobabcroft.notice;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.fairness.AccountSubject;
import baobabcroft.fairness.AccountUse;
import baobabcroft.limit.BoundReport;
import baobabcroft.load.EndpointKey;
import baobabcroft.load.PeerLoads.Load;
import baobabcroft.notice.proto.AccountLoad;
import baobabcroft.notice.proto.EndpointLoad;
import baobabcroft.notice.proto.PeerNotice;
import baobabcroft.notice.proto.RouteAnswers;
import baobabcroft.notice.proto.StatedBound;
import baobabcroft.notice.proto.VersionAnswers;
import baobabcroft.replica.StoreRevision;
import baobabcroft.rollout.RolloutCounts;
import baobabcroft.rollout.RouteTrials;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.OptionalDouble;

/**
 * The contents of one notice.
 *
 * @param loads load by endpoint
 * @param rolloutCounts answer counts of versions that are being rolled out, by service
 * @param limits what endpoints have told of limits on their requests, by start of the endpoint
 * @param toleratedRejections what endpoints have told of the rejections that they tolerate, by service
 * @param isolatedInstances names of instances that are cut off from all endpoints
 * @param accounts what client accounts use of services that are contended
 */
public record NoticeContents(
        ImmutableMap<EndpointKey, Load> loads,
        ImmutableMap<String, RolloutCounts> rolloutCounts,
        ImmutableList<BoundReport> limits,
        ImmutableList<BoundReport> toleratedRejections,
        ImmutableSet<String> isolatedInstances,
        ImmutableMap<AccountSubject, AccountUse> accounts) {
    private static final double PERCENT = 100;

    /** Rejects null components. */
    public NoticeContents {
        checkNotNull(loads);
        checkNotNull(rolloutCounts);
        checkNotNull(limits);
        checkNotNull(toleratedRejections);
        checkNotNull(isolatedInstances);
        checkNotNull(accounts);
    }

    /** Creates the contents of a notice while no service is contended. */
    public NoticeContents(
            ImmutableMap<EndpointKey, Load> loads,
            ImmutableMap<String, RolloutCounts> rolloutCounts,
            ImmutableList<BoundReport> limits,
            ImmutableList<BoundReport> toleratedRejections,
            ImmutableSet<String> isolatedInstances) {
        this(loads, rolloutCounts, limits, toleratedRejections, isolatedInstances, ImmutableMap.of());
    }

    /** Returns whether nothing is lost if the notice is not repeated. */
    boolean isIdle() {
        return loads.isEmpty() && limits.isEmpty() && toleratedRejections.isEmpty() && isolatedInstances.isEmpty();
    }

    /** Adds the contents to a notice. */
    void addTo(PeerNotice.Builder notice) {
        loads.forEach((endpoint, load) -> notice.addLoads(EndpointLoad.newBuilder()
                .setEndpointHash(endpoint.hash())
                .setInFlight(load.inFlight())
                .setUnreadMillis((int) load.prefillBacklogMillis())
                .setFailurePercent((int) Math.round(load.failureRate() * PERCENT))
                .setLateMillis((int) load.lateMillis())
                .setHeldTokens((int) Math.min(load.heldTokens(), Integer.MAX_VALUE))));
        rolloutCounts.forEach((service, counts) -> {
            VersionAnswers.Builder answers = VersionAnswers.newBuilder()
                    .setService(service)
                    .setOrderEra(counts.order().era())
                    .setOrderRevision(counts.order().number());
            counts.routes()
                    .forEach((route, routeCounts) -> answers.addRoutes(RouteAnswers.newBuilder()
                            .setRoute(route)
                            .setAnswers(routeCounts.answers())
                            .setFailed(routeCounts.failed())
                            .setLost(routeCounts.lost())
                            .setSlow(routeCounts.slow())
                            .setTimed(routeCounts.timed())
                            .setLate(routeCounts.late())));
            notice.addAnswers(answers);
        });
        notice.addAllIsolatedInstances(isolatedInstances);
        accounts.forEach((subject, use) -> notice.addAccounts(AccountLoad.newBuilder()
                .setSubjectHash(subject.hash())
                .setInFlight(use.inFlight())
                .setHeldTokens((int) Math.min(use.heldTokens(), Integer.MAX_VALUE))));
        limits.forEach(report -> notice.addLimits(toProto(report)));
        toleratedRejections.forEach(report -> notice.addToleratedRejections(toProto(report)));
    }

    private static StatedBound toProto(BoundReport report) {
        StatedBound.Builder bound = StatedBound.newBuilder()
                .setSubjectHash(report.subjectHash())
                .setAgeMillis((int) Math.min(report.ageMillis(), Integer.MAX_VALUE));
        report.bound().ifPresent(value -> bound.setBound((float) value));
        return bound.build();
    }

    /** Returns the contents of a notice; the last entry counts if an endpoint, service or route is repeated. */
    static NoticeContents of(PeerNotice notice) {
        ImmutableMap.Builder<EndpointKey, Load> loads = ImmutableMap.builder();
        for (EndpointLoad load : notice.getLoadsList()) {
            loads.put(
                    new EndpointKey(load.getEndpointHash()),
                    new Load(
                            load.getInFlight(),
                            load.getUnreadMillis(),
                            load.getFailurePercent() / PERCENT,
                            load.getLateMillis(),
                            Integer.toUnsignedLong(load.getHeldTokens())));
        }
        ImmutableMap.Builder<String, RolloutCounts> rolloutCounts = ImmutableMap.builder();
        for (VersionAnswers answers : notice.getAnswersList()) {
            ImmutableMap.Builder<String, RouteTrials> routes = ImmutableMap.builder();
            for (RouteAnswers route : answers.getRoutesList()) {
                routes.put(
                        route.getRoute(),
                        new RouteTrials(
                                route.getAnswers(),
                                route.getFailed(),
                                route.getLost(),
                                route.getSlow(),
                                route.getTimed(),
                                route.getLate()));
            }
            rolloutCounts.put(
                    answers.getService(),
                    new RolloutCounts(
                            new StoreRevision(answers.getOrderEra(), answers.getOrderRevision()),
                            routes.buildKeepingLast()));
        }
        ImmutableMap.Builder<AccountSubject, AccountUse> accounts = ImmutableMap.builder();
        for (AccountLoad account : notice.getAccountsList()) {
            accounts.put(
                    new AccountSubject(account.getSubjectHash()),
                    new AccountUse(account.getInFlight(), Integer.toUnsignedLong(account.getHeldTokens())));
        }
        return new NoticeContents(
                loads.buildKeepingLast(),
                rolloutCounts.buildKeepingLast(),
                reports(notice.getLimitsList()),
                reports(notice.getToleratedRejectionsList()),
                ImmutableSet.copyOf(notice.getIsolatedInstancesList()),
                accounts.buildKeepingLast());
    }

    private static ImmutableList<BoundReport> reports(List<StatedBound> bounds) {
        return bounds.stream()
                .filter(bound -> Float.isFinite(bound.getBound()) && bound.getBound() >= 0)
                .map(bound -> new BoundReport(
                        bound.getSubjectHash(),
                        bound.hasBound() ? OptionalDouble.of(bound.getBound()) : OptionalDouble.empty(),
                        Integer.toUnsignedLong(bound.getAgeMillis())))
                .collect(ImmutableList.toImmutableList());
    }
}
