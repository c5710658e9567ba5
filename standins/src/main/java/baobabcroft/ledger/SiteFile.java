package baobabcroft.ledger;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * What a site file of the bench says of disturbances.
 *
 * @param site name of the deployment
 * @param troubles disturbances with the strengths that the site shows; several may be of one kind
 */
record SiteFile(String site, ImmutableList<Disturbance> troubles) {
    /**
     * Reads a site file.
     *
     * @throws IllegalArgumentException if it cannot be read, or has no name or no troubles
     */
    static SiteFile read(Path file) {
        JsonNode root;
        try {
            root = new TomlMapper().readTree(Files.readAllBytes(file));
        } catch (IOException unreadable) {
            throw new IllegalArgumentException("site file " + file + " cannot be read", unreadable);
        }
        ImmutableList.Builder<Disturbance> troubles = ImmutableList.builder();
        for (JsonNode trouble : root.path("troubles")) {
            if (trouble instanceof ObjectNode fields) {
                troubles.add(new Disturbance(fields));
            }
        }
        SiteFile site = new SiteFile(root.path("name").asText(), troubles.build());
        if (site.site().isEmpty() || site.troubles().isEmpty()) {
            throw new IllegalArgumentException("site file " + file + " has no name or no troubles");
        }
        return site;
    }

    ImmutableSortedSet<String> kinds() {
        return troubles.stream()
                .map(Disturbance::kind)
                .collect(ImmutableSortedSet.toImmutableSortedSet(String::compareTo));
    }
}
