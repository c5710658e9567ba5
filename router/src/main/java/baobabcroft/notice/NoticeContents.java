package baobabcroft.notice;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.limit.LimitReport;
import baobabcroft.load.EndpointKey;
import baobabcroft.load.PeerLoads.Load;
import baobabcroft.notice.proto.EndpointLimit;
import baobabcroft.notice.proto.EndpointLoad;
import baobabcroft.notice.proto.PeerNotice;
import baobabcroft.notice.proto.RouteAnswers;
import baobabcroft.notice.proto.VersionAnswers;
import baobabcroft.replica.StoreRevision;
import baobabcroft.rollout.RolloutCounts;
import baobabcroft.rollout.RouteTrials;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * The contents of one notice.
 *
 * @param loads load by endpoint
 * @param rolloutCounts answer counts of versions that are being rolled out, by service
 * @param limits what endpoints have told of limits on their requests
 * @param isolatedInstances names of instances that are cut off from all endpoints
 */
public record NoticeContents(
        ImmutableMap<EndpointKey, Load> loads,
        ImmutableMap<String, RolloutCounts> rolloutCounts,
        ImmutableList<LimitReport> limits,
        ImmutableSet<String> isolatedInstances) {
    private static final double PERCENT = 100;

    /** Rejects null components. */
    public NoticeContents {
        checkNotNull(loads);
        checkNotNull(rolloutCounts);
        checkNotNull(limits);
        checkNotNull(isolatedInstances);
    }

    /** Returns whether nothing is lost if the notice is not repeated. */
    boolean isIdle() {
        return loads.isEmpty() && limits.isEmpty() && isolatedInstances.isEmpty();
    }

    /** Adds the contents to a notice. */
    void addTo(PeerNotice.Builder notice) {
        loads.forEach((endpoint, load) -> notice.addLoads(EndpointLoad.newBuilder()
                .setEndpointHash(endpoint.hash())
                .setInFlight(load.inFlight())
                .setUnreadMillis((int) load.prefillBacklogMillis())
                .setFailurePercent((int) Math.round(load.failureRate() * PERCENT))
                .setLateMillis((int) load.lateMillis())));
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
                            .setSlow(routeCounts.slow())));
            notice.addAnswers(answers);
        });
        notice.addAllIsolatedInstances(isolatedInstances);
        for (LimitReport limit : limits) {
            EndpointLimit.Builder report = EndpointLimit.newBuilder()
                    .setIncarnationHash(limit.incarnationHash())
                    .setAgeMillis((int) Math.min(limit.ageMillis(), Integer.MAX_VALUE));
            limit.perSecond().ifPresent(perSecond -> report.setPerSecond((float) perSecond));
            notice.addLimits(report);
        }
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
                            load.getLateMillis()));
        }
        ImmutableMap.Builder<String, RolloutCounts> rolloutCounts = ImmutableMap.builder();
        for (VersionAnswers answers : notice.getAnswersList()) {
            ImmutableMap.Builder<String, RouteTrials> routes = ImmutableMap.builder();
            for (RouteAnswers route : answers.getRoutesList()) {
                routes.put(
                        route.getRoute(),
                        new RouteTrials(route.getAnswers(), route.getFailed(), route.getLost(), route.getSlow()));
            }
            rolloutCounts.put(
                    answers.getService(),
                    new RolloutCounts(
                            new StoreRevision(answers.getOrderEra(), answers.getOrderRevision()),
                            routes.buildKeepingLast()));
        }
        return new NoticeContents(
                loads.buildKeepingLast(),
                rolloutCounts.buildKeepingLast(),
                notice.getLimitsList().stream()
                        .map(NoticeContents::limitReport)
                        .flatMap(Optional::stream)
                        .collect(ImmutableList.toImmutableList()),
                ImmutableSet.copyOf(notice.getIsolatedInstancesList()));
    }

    /** Returns a report; empty if its limit is no number that an endpoint can state. */
    private static Optional<LimitReport> limitReport(EndpointLimit limit) {
        boolean isValid = Float.isFinite(limit.getPerSecond()) && limit.getPerSecond() >= 0;
        return isValid
                ? Optional.of(new LimitReport(
                        limit.getIncarnationHash(),
                        limit.hasPerSecond() ? OptionalDouble.of(limit.getPerSecond()) : OptionalDouble.empty(),
                        Integer.toUnsignedLong(limit.getAgeMillis())))
                : Optional.empty();
    }
}
