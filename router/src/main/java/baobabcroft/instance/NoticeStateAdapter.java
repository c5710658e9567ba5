package baobabcroft.instance;

import baobabcroft.fairness.AccountUses;
import baobabcroft.fairness.FairAdmission;
import baobabcroft.limit.DomainBoundReports;
import baobabcroft.load.PeerLoads;
import baobabcroft.notice.NoticeContents;
import baobabcroft.notice.NoticeDelegate;
import baobabcroft.relay.EndpointAvailability;
import baobabcroft.relay.EndpointLoads;
import baobabcroft.rollout.DomainRolloutCounts;
import baobabcroft.rollout.FleetRollouts;
import com.google.common.collect.ImmutableMap;
import java.util.function.LongSupplier;

/**
 * Provides the contents of this instance's notices and applies those of other instances: endpoint loads, and response
 * counts of versions that are being rolled out, limits that endpoints
 * state, which instances are cut off from all endpoints, and what client accounts use. Not thread-safe.
 */
final class NoticeStateAdapter implements NoticeDelegate {
    /** Distinguishes a failure domain from an instance of the same name. */
    private static final String DOMAIN_PREFIX = "failure domain ";

    private final EndpointLoads ownLoads;
    private final PeerLoads peerLoads;
    private final DomainRolloutCounts counts;
    private final FleetRollouts rollouts;
    private final EndpointAvailability availability;
    private final DomainBoundReports limits;
    private final DomainBoundReports toleratedRejections;
    private final FleetIsolation isolation;
    private final FairAdmission fairness;
    private final AccountUses accountUses;

    NoticeStateAdapter(
            EndpointLoads ownLoads,
            PeerLoads peerLoads,
            DomainRolloutCounts counts,
            FleetRollouts rollouts,
            EndpointAvailability availability,
            LongSupplier nowMillis,
            FleetIsolation isolation,
            FairAdmission fairness,
            AccountUses accountUses) {
        this.ownLoads = ownLoads;
        this.peerLoads = peerLoads;
        this.counts = counts;
        this.rollouts = rollouts;
        this.availability = availability;
        this.limits = DomainBoundReports.create(nowMillis);
        this.toleratedRejections = DomainBoundReports.create(nowMillis);
        this.isolation = isolation;
        this.fairness = fairness;
        this.accountUses = accountUses;
    }

    @Override
    public NoticeContents ownContents() {
        return new NoticeContents(
                ImmutableMap.copyOf(ownLoads.localLoads()),
                counts.own(),
                availability.limitReports(),
                availability.toleratedRejectionReports(),
                isolation.own(),
                fairness.ownReport());
    }

    @Override
    public NoticeContents domainContents() {
        return new NoticeContents(
                peerLoads.ownDomainLoads(ownLoads.localLoads()),
                counts.domainTotal(),
                limits.latest(availability.limitReports()),
                toleratedRejections.latest(availability.toleratedRejectionReports()),
                isolation.ownDomain(),
                fairness.domainReport());
    }

    @Override
    public void onInstanceNotice(String instance, long sequence, NoticeContents contents) {
        peerLoads.updateInstance(instance, sequence, contents.loads());
        accountUses.updateInstance(instance, sequence, contents.accounts());
        counts.setPeer(instance, contents.rolloutCounts());
        limits.setPeer(instance, contents.limits());
        toleratedRejections.setPeer(instance, contents.toleratedRejections());
        isolation.setInstance(instance, contents.isolatedInstances());
        availability.onReports(contents.limits(), contents.toleratedRejections());
        contents.rolloutCounts().forEach((service, counts) -> rollouts.onCounts(service, instance, counts));
    }

    @Override
    public void onDomainNotice(String failureDomain, NoticeContents contents) {
        peerLoads.updateFailureDomain(failureDomain, contents.loads());
        accountUses.updateFailureDomain(failureDomain, contents.accounts());
        isolation.setFailureDomain(failureDomain, contents.isolatedInstances());
        availability.onReports(contents.limits(), contents.toleratedRejections());
        contents.rolloutCounts()
                .forEach((service, counts) -> rollouts.onCounts(service, DOMAIN_PREFIX + failureDomain, counts));
    }
}
