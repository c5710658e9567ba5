package baobabcroft.ledger;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;

/**
 * The journal that the bench writes: a JSON file for each play.
 *
 * @param days the days that were played
 * @param unread a line for each file that could not be read, with the reason
 */
record Journal(ImmutableList<PlayedDay> days, ImmutableList<String> unread) {
    private static final String SITE_SUFFIX = ".toml";

    /**
     * Reads all entries of a directory.
     *
     * @throws IllegalArgumentException if it cannot be listed
     */
    static Journal read(Path directory) {
        ImmutableList.Builder<PlayedDay> days = ImmutableList.builder();
        ImmutableList.Builder<String> unread = ImmutableList.builder();
        ObjectMapper json = new ObjectMapper();
        for (Path file : entries(directory)) {
            try {
                days.addAll(daysOf(json.readTree(Files.readAllBytes(file))));
            } catch (IOException | IllegalArgumentException unreadable) {
                unread.add(file.getFileName() + ": " + firstLine(unreadable));
            }
        }
        return new Journal(days.build(), unread.build());
    }

    private static ImmutableList<Path> entries(Path directory) {
        try (DirectoryStream<Path> files = Files.newDirectoryStream(directory, "*.json")) {
            return ImmutableList.sortedCopyOf(files);
        } catch (IOException unreadable) {
            throw new IllegalArgumentException("journal " + directory + " cannot be listed", unreadable);
        }
    }

    private static String firstLine(Exception failure) {
        return String.valueOf(failure.getMessage()).lines().findFirst().orElse("");
    }

    private static ImmutableList<PlayedDay> daysOf(JsonNode entry) {
        if (!entry.path("days").isArray()) {
            throw new IllegalArgumentException("no list of days");
        }
        String site = siteOf(entry).orElseThrow(() -> new IllegalArgumentException("no site"));
        return stream(entry.path("days")).map(day -> day(site, day)).collect(ImmutableList.toImmutableList());
    }

    /** Returns the site's name; an entry of a play that did not finish only has the name of its file. */
    private static Optional<String> siteOf(JsonNode entry) {
        return entry.path("site").isTextual()
                ? Optional.of(entry.path("site").asText())
                : stream(entry.path("argv"))
                        .map(JsonNode::asText)
                        .filter(argument -> argument.endsWith(SITE_SUFFIX))
                        .map(argument -> argument.substring(
                                argument.lastIndexOf('/') + 1, argument.length() - SITE_SUFFIX.length()))
                        .findFirst();
    }

    private static PlayedDay day(String site, JsonNode day) {
        ImmutableSortedSet<String> kinds = stream(day.path("troubles"))
                .map(JsonNode::asText)
                .collect(ImmutableSortedSet.toImmutableSortedSet(String::compareTo));
        return new PlayedDay(
                site, kinds, !day.path("rules").isEmpty(), day.path("figure").asDouble(0));
    }

    private static Stream<JsonNode> stream(JsonNode list) {
        return StreamSupport.stream(list.spliterator(), false);
    }
}
