package baobabcroft.serve;

import baobabcroft.gateway.VersionChooser;
import baobabcroft.rules.VersionId;
import baobabcroft.rules.VersionRule;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

/** Chooses versions by their shares and a hash of the session, alike on all instances. Stateless. */
final class ShareChooser implements VersionChooser {
    @Override
    public Optional<VersionId> choose(List<VersionRule> open, String assignmentKey) {
        int total = open.stream().mapToInt(VersionRule::sharePercent).sum();
        if (total == 0) {
            return open.stream().findFirst().map(VersionRule::id);
        }
        long hash = Hashing.murmur3_128()
                .hashString(assignmentKey, StandardCharsets.UTF_8)
                .asLong();
        long point = Math.floorMod(hash, (long) total);
        for (VersionRule version : open) {
            point -= version.sharePercent();
            if (point < 0) {
                return Optional.of(version.id());
            }
        }
        return Optional.empty();
    }
}
