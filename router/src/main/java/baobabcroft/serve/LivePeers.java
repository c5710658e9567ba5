package baobabcroft.serve;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.config.ConfigNode;
import baobabcroft.membership.Members;
import baobabcroft.membership.Presence;
import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.function.Function;

/** The other instances that are listed and alive, as seen by this instance. Thread-safe. */
final class LivePeers {
    private final String self;
    private final String failureDomain;
    private final Members members;
    private final ConfigNode node;
    private final Function<String, String> failureDomainOf;

    LivePeers(
            String self,
            String failureDomain,
            Members members,
            ConfigNode node,
            Function<String, String> failureDomainOf) {
        this.self = checkNotNull(self);
        this.failureDomain = checkNotNull(failureDomain);
        this.members = checkNotNull(members);
        this.node = checkNotNull(node);
        this.failureDomainOf = checkNotNull(failureDomainOf);
    }

    /** Returns the listed instances that recently answered heartbeats, except this one, sorted by name. */
    ImmutableList<String> alive() {
        return members.listed().stream()
                .filter(name -> !name.equals(self))
                .filter(name -> node.presenceOf(name) == Presence.ALIVE)
                .sorted()
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the same instances as {@link #alive}, those in other failure domains first. */
    ImmutableList<String> aliveOtherDomainsFirst() {
        return alive().stream()
                .sorted(Comparator.comparing(name -> failureDomainOf.apply(name).equals(failureDomain)))
                .collect(ImmutableList.toImmutableList());
    }
}
