package baobabcroft.instance;

import baobabcroft.rollout.RolloutRecord;
import baobabcroft.rollout.RolloutStage;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSetMultimap;
import com.google.common.collect.SetMultimap;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * JSON format of the records that instances share. Members are read one by one, because binding by reflection takes a
 * tenth of the time of a start. Unknown members are ignored: a later release may write them.
 */
final class SharedRecordCodec {
    private static final String ORDER_ERA = "orderEra";
    private static final String ORDER_REVISION = "orderRevision";
    private static final String TARGET = "target";
    private static final String DURATION = "durationMillis";
    private static final String STAGE = "stage";
    private static final String STARTED_AT = "startedAtEpochMillis";
    private static final String REVERTED_VERSIONS = "revertedVersions";
    private static final String ENDPOINTS = "endpointsByDigest";
    private static final String CLEARED_BY_DIGEST = "clearedByDigest";
    private static final String CONFIRMED_BY_DIGEST = "confirmedByDigest";
    private static final String ENDPOINTS_BY_PART = "endpointsByPart";
    private static final String CLEARED_BY_PART = "clearedByPart";
    private static final String ADDRESS = "address";
    private static final String FAILURE_DOMAIN = "failureDomain";
    private static final String FORWARDING_ADDRESS = "forwardingAddress";
    private static final String LINK_RATE = "linkMegabitsPerSecond";

    private final ObjectMapper json = new ObjectMapper();

    SharedRecordCodec() {}

    ByteString encode(RolloutRecord record) {
        ObjectNode document = json.createObjectNode()
                .put(ORDER_ERA, record.orderEra())
                .put(ORDER_REVISION, record.orderRevision())
                .put(TARGET, record.target())
                .put(DURATION, record.durationMillis())
                .put(STAGE, record.stage().name())
                .put(STARTED_AT, record.startedAtEpochMillis());
        ArrayNode reverted = document.putArray(REVERTED_VERSIONS);
        record.revertedVersions().forEach(reverted::add);
        return bytes(document);
    }

    /**
     * Returns the record of a rollout.
     *
     * @throws IOException if a member is missing or malformed
     */
    RolloutRecord decodeRollout(ByteString text) throws IOException {
        JsonNode document = read(text);
        ImmutableSet.Builder<String> reverted = ImmutableSet.builder();
        document.path(REVERTED_VERSIONS).forEach(version -> reverted.add(version.asText()));
        return new RolloutRecord(
                document.path(ORDER_ERA).asLong(0),
                member(document, ORDER_REVISION).asLong(),
                member(document, TARGET).asText(),
                document.path(DURATION).asLong(0),
                stage(member(document, STAGE).asText()),
                member(document, STARTED_AT).asLong(),
                reverted.build());
    }

    private static RolloutStage stage(String name) throws IOException {
        try {
            return RolloutStage.valueOf(name);
        } catch (IllegalArgumentException unknown) {
            throw new IOException("unknown stage " + name, unknown);
        }
    }

    ByteString encode(CrashRecord record) {
        ObjectNode document = json.createObjectNode();
        putSets(document.putObject(ENDPOINTS), record.endpointsByDigest());
        putSets(document.putObject(CLEARED_BY_DIGEST), record.clearedByDigest());
        putSets(document.putObject(CONFIRMED_BY_DIGEST), record.confirmedByDigest());
        putSets(document.putObject(ENDPOINTS_BY_PART), record.endpointsByPart());
        putSets(document.putObject(CLEARED_BY_PART), record.clearedByPart());
        return bytes(document);
    }

    private static void putSets(ObjectNode document, SetMultimap<String, String> sets) {
        sets.asMap().forEach((name, values) -> {
            ArrayNode list = document.putArray(name);
            values.forEach(list::add);
        });
    }

    /**
     * Returns the crashes that an instance has published. Records of earlier releases have no prompt parts,
     * or no clearances and confirmations of requests.
     *
     * @throws IOException if a member is missing or malformed
     */
    CrashRecord decodeCrashes(ByteString text) throws IOException {
        JsonNode document = read(text);
        return new CrashRecord(
                readSets(member(document, ENDPOINTS)),
                readSets(document.path(CLEARED_BY_DIGEST)),
                readSets(document.path(CONFIRMED_BY_DIGEST)),
                readSets(document.path(ENDPOINTS_BY_PART)),
                readSets(document.path(CLEARED_BY_PART)));
    }

    private static ImmutableSetMultimap<String, String> readSets(JsonNode document) {
        ImmutableSetMultimap.Builder<String, String> sets = ImmutableSetMultimap.builder();
        document.properties().forEach(set -> set.getValue().forEach(value -> sets.put(set.getKey(), value.asText())));
        return sets.build();
    }

    ByteString encode(InstanceLocation location) {
        ObjectNode document =
                json.createObjectNode().put(ADDRESS, location.address()).put(FAILURE_DOMAIN, location.failureDomain());
        location.forwardingAddress().ifPresent(address -> document.put(FORWARDING_ADDRESS, address));
        if (location.linkMegabitsPerSecond() > 0) {
            document.put(LINK_RATE, location.linkMegabitsPerSecond());
        }
        return bytes(document);
    }

    /**
     * Returns the location that an instance has published. Earlier releases take no forwarded requests and state no
     * rate of their link.
     *
     * @throws IOException if a member is missing or malformed
     */
    InstanceLocation decodeLocation(ByteString text) throws IOException {
        JsonNode document = read(text);
        return new InstanceLocation(
                member(document, ADDRESS).asText(),
                member(document, FAILURE_DOMAIN).asText(),
                Optional.of(document.path(FORWARDING_ADDRESS))
                        .filter(JsonNode::isTextual)
                        .map(JsonNode::asText),
                Math.max(0, document.path(LINK_RATE).asDouble(0)));
    }

    private JsonNode read(ByteString text) throws IOException {
        return json.readTree(text.toByteArray());
    }

    private static JsonNode member(JsonNode document, String name) throws IOException {
        JsonNode value = document.path(name);
        if (value.isMissingNode() || value.isNull()) {
            throw new IOException("no member \"" + name + "\"");
        }
        return value;
    }

    private static ByteString bytes(ObjectNode document) {
        return ByteString.copyFrom(document.toString(), StandardCharsets.UTF_8);
    }
}
