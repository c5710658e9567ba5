package baobabcroft.instance;

import baobabcroft.load.SharedLoads;
import baobabcroft.notice.NoticeContents;
import baobabcroft.notice.SharedKnowledge;
import baobabcroft.relay.EndpointLoads;
import baobabcroft.rollout.FleetRollouts;
import baobabcroft.rollout.SharedTrials;
import com.google.common.collect.ImmutableMap;

/**
 * Provides the contents of this instance's notices and applies those of other instances: endpoint loads, and response
 * counts of versions that are being rolled out. Not thread-safe.
 */
final class NoticeStateAdapter implements SharedKnowledge {
    /** Distinguishes a failure domain from an instance of the same name. */
    private static final String DOMAIN_PREFIX = "failure domain ";

    private final EndpointLoads ownLoads;
    private final SharedLoads peerLoads;
    private final SharedTrials trials;
    private final FleetRollouts rollouts;

    NoticeStateAdapter(EndpointLoads ownLoads, SharedLoads peerLoads, SharedTrials trials, FleetRollouts rollouts) {
        this.ownLoads = ownLoads;
        this.peerLoads = peerLoads;
        this.trials = trials;
        this.rollouts = rollouts;
    }

    @Override
    public NoticeContents own() {
        return new NoticeContents(ImmutableMap.copyOf(ownLoads.own()), trials.own());
    }

    @Override
    public NoticeContents ofOwnDomain() {
        return new NoticeContents(peerLoads.ofOwnDomain(ownLoads.own()), trials.ofOwnDomain());
    }

    @Override
    public void told(String instance, long sequence, NoticeContents contents) {
        peerLoads.told(instance, sequence, contents.loads());
        trials.told(instance, contents.trials());
        contents.trials().forEach((service, counts) -> rollouts.heard(service, instance, counts));
    }

    @Override
    public void toldOfDomain(String failureDomain, NoticeContents contents) {
        peerLoads.toldOfDomain(failureDomain, contents.loads());
        contents.trials().forEach((service, counts) -> rollouts.heard(service, DOMAIN_PREFIX + failureDomain, counts));
    }
}
