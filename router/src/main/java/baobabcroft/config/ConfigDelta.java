package baobabcroft.config;

import baobabcroft.peer.proto.ConfigDeltaMessage;
import baobabcroft.peer.proto.LineEdit;
import com.google.common.base.Joiner;
import com.google.common.base.Splitter;
import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Computes and applies the line difference between two documents. */
final class ConfigDelta {
    private static final Splitter LINES = Splitter.on('\n');
    private static final Joiner JOIN_LINES = Joiner.on('\n');

    private ConfigDelta() {}

    /** Returns the difference; it covers all lines from the first to the last that differ. */
    static ConfigDeltaMessage between(ConfigDocument base, ConfigDocument next) {
        List<String> before = LINES.splitToList(base.rulesText());
        List<String> after = LINES.splitToList(next.rulesText());
        int shorter = Math.min(before.size(), after.size());
        int prefix = 0;
        while (prefix < shorter && before.get(prefix).equals(after.get(prefix))) {
            prefix++;
        }
        int suffix = 0;
        while (suffix < shorter - prefix && fromEnd(before, suffix).equals(fromEnd(after, suffix))) {
            suffix++;
        }
        LineEdit edit = LineEdit.newBuilder()
                .setFromLine(prefix)
                .setRemovedLines(before.size() - prefix - suffix)
                .addAllAdded(after.subList(prefix, after.size() - suffix))
                .build();
        return ConfigDeltaMessage.newBuilder()
                .setBaseNumber(base.number())
                .setBaseSha256(digest(base.rulesText()))
                .setResultSha256(digest(next.rulesText()))
                .setHead(next.toMessage().toBuilder().clearRulesText())
                .setEdit(edit)
                .build();
    }

    /** Returns the document that results from a difference, or empty if the difference does not match the base. */
    static Optional<ConfigDocument> apply(ConfigDocument base, ConfigDeltaMessage delta) {
        if (delta.getBaseNumber() != base.number() || !delta.getBaseSha256().equals(digest(base.rulesText()))) {
            return Optional.empty();
        }
        List<String> before = LINES.splitToList(base.rulesText());
        LineEdit edit = delta.getEdit();
        int from = edit.getFromLine();
        int removed = edit.getRemovedLines();
        if (from < 0 || removed < 0 || from > before.size() - removed) {
            return Optional.empty();
        }
        List<String> after = new ArrayList<>(before.subList(0, from));
        after.addAll(edit.getAddedList());
        after.addAll(before.subList(from + removed, before.size()));
        String text = JOIN_LINES.join(after);
        if (!delta.getResultSha256().equals(digest(text))) {
            return Optional.empty();
        }
        return Optional.of(ConfigDocument.fromMessage(
                delta.getHead().toBuilder().setRulesText(text).build()));
    }

    private static String fromEnd(List<String> lines, int distance) {
        return lines.get(lines.size() - 1 - distance);
    }

    private static ByteString digest(String text) {
        return ByteString.copyFrom(
                Hashing.sha256().hashString(text, StandardCharsets.UTF_8).asBytes());
    }
}
