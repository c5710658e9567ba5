package baobabcroft.instance;

import baobabcroft.load.PeerLoads;
import baobabcroft.notice.NoticeContents;
import baobabcroft.notice.NoticeDelegate;
import baobabcroft.relay.EndpointLoads;
import baobabcroft.rollout.DomainRolloutCounts;
import baobabcroft.rollout.FleetRollouts;
import com.google.common.collect.ImmutableMap;

/** Joins what an instance knows of loads and of new versions' answers. Not thread-safe. */
final class FleetKnowledge implements NoticeDelegate {
    /** Tells a failure domain from an instance of the same name. */
    private static final String DOMAIN_PREFIX = "failure domain ";

    private final EndpointLoads ownLoads;
    private final PeerLoads othersLoads;
    private final DomainRolloutCounts trials;
    private final FleetRollouts rollouts;

    FleetKnowledge(EndpointLoads ownLoads, PeerLoads othersLoads, DomainRolloutCounts trials, FleetRollouts rollouts) {
        this.ownLoads = ownLoads;
        this.othersLoads = othersLoads;
        this.trials = trials;
        this.rollouts = rollouts;
    }

    @Override
    public NoticeContents ownContents() {
        return new NoticeContents(ImmutableMap.copyOf(ownLoads.localLoads()), trials.own());
    }

    @Override
    public NoticeContents domainContents() {
        return new NoticeContents(othersLoads.ownDomainLoads(ownLoads.localLoads()), trials.domainTotal());
    }

    @Override
    public void onInstanceNotice(String instance, long sequence, NoticeContents contents) {
        othersLoads.updateInstance(instance, sequence, contents.loads());
        trials.setPeer(instance, contents.rolloutCounts());
        contents.rolloutCounts().forEach((service, counts) -> rollouts.onCounts(service, instance, counts));
    }

    @Override
    public void onDomainNotice(String failureDomain, NoticeContents contents) {
        othersLoads.updateFailureDomain(failureDomain, contents.loads());
        contents.rolloutCounts()
                .forEach((service, counts) -> rollouts.onCounts(service, DOMAIN_PREFIX + failureDomain, counts));
    }
}
