package baobabcroft.notice;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.load.EndpointKey;
import baobabcroft.load.PeerLoads.Load;
import baobabcroft.notice.proto.EndpointLoad;
import baobabcroft.notice.proto.PeerNotice;
import baobabcroft.notice.proto.RouteAnswers;
import baobabcroft.notice.proto.VersionAnswers;
import baobabcroft.replica.StoreRevision;
import baobabcroft.rollout.RolloutCounts;
import baobabcroft.rollout.RouteTrials;
import com.google.common.collect.ImmutableMap;

/**
 * The contents of one notice.
 *
 * @param loads load by endpoint
 * @param rolloutCounts answer counts of versions that are being rolled out, by service
 */
public record NoticeContents(ImmutableMap<EndpointKey, Load> loads, ImmutableMap<String, RolloutCounts> rolloutCounts) {
    private static final double PERCENT = 100;

    /** Rejects null components. */
    public NoticeContents {
        checkNotNull(loads);
        checkNotNull(rolloutCounts);
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
        return new NoticeContents(loads.buildKeepingLast(), rolloutCounts.buildKeepingLast());
    }
}
