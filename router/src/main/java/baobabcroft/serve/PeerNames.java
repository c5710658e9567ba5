package baobabcroft.serve;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.config.ConfigNode;
import baobabcroft.membership.Members;
import baobabcroft.membership.Presence;
import com.google.common.collect.ImmutableList;

/** The other instances as this one sees them. Thread-safe. */
final class PeerNames {
    private final String self;
    private final Members members;
    private final ConfigNode node;

    PeerNames(String self, Members members, ConfigNode node) {
        this.self = checkNotNull(self);
        this.members = checkNotNull(members);
        this.node = checkNotNull(node);
    }

    /** Returns the listed instances that answered heartbeats lately, without this one, ordered by name. */
    ImmutableList<String> alive() {
        return members.listed().stream()
                .filter(name -> !name.equals(self))
                .filter(name -> node.presenceOf(name) == Presence.ALIVE)
                .sorted()
                .collect(ImmutableList.toImmutableList());
    }
}
