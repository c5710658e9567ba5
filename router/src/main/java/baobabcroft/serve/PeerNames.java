package baobabcroft.serve;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.config.ConfigNode;
import baobabcroft.membership.Members;
import baobabcroft.membership.Presence;
import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.function.Function;

/** The other instances as this one sees them. Thread-safe. */
final class PeerNames {
    private final String self;
    private final String failureDomain;
    private final Members members;
    private final ConfigNode node;
    private final Function<String, String> failureDomainOf;

    PeerNames(
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

    /** Returns the listed instances that answered heartbeats lately, without this one, ordered by name. */
    ImmutableList<String> alive() {
        return members.listed().stream()
                .filter(name -> !name.equals(self))
                .filter(name -> node.presenceOf(name) == Presence.ALIVE)
                .sorted()
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the same instances, those of other failure domains first. */
    ImmutableList<String> aliveFarthestFirst() {
        return alive().stream()
                .sorted(Comparator.comparing(name -> failureDomainOf.apply(name).equals(failureDomain)))
                .collect(ImmutableList.toImmutableList());
    }
}
