package baobabcroft.settings;

import baobabcroft.settings.SettingsException.Code;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.deser.std.FromStringDeserializer;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Loads settings: validates the JSON tree, adds defaults and the shared key, and checks rules across keys. Stateless.
 */
final class SettingsLoader {
    private static final int MIN_SHARED_KEY_LENGTH = 16;
    private static final String SHARED_KEY = "sharedKey";
    private static final String SHARED_KEY_FILE = "sharedKeyFile";
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .addModule(new Jdk8Module())
            .addModule(new SimpleModule().addDeserializer(HostAndPort.class, new HostAndPortDeserializer()))
            .build();

    private SettingsLoader() {}

    private static final class HostAndPortDeserializer extends FromStringDeserializer<HostAndPort> {
        private static final long serialVersionUID = 1L;

        HostAndPortDeserializer() {
            super(HostAndPort.class);
        }

        @Override
        protected HostAndPort _deserialize(String value, DeserializationContext context) {
            return HostAndPort.fromString(value);
        }
    }

    static Settings load(Path file) {
        JsonNode tree = parse(readFile(file, ""));
        throwIfAny(Code.SETTINGS_INVALID, SettingsSchema.create().check(tree));
        ObjectNode peers = (ObjectNode) tree.get("peers");
        throwIfAny(Code.SETTINGS_INVALID, sharedKeyFaults(peers));
        if (peers.has(SHARED_KEY_FILE)) {
            readSharedKey(file.resolveSibling(peers.remove(SHARED_KEY_FILE).asText()), peers);
        }
        Settings settings = convert(tree);
        throwIfAny(Code.SETTINGS_INVALID, crossFieldFaults(settings));
        return settings;
    }

    private static String readFile(Path file, String path) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            String reason = e.getClass().getSimpleName();
            throw singleFault(Code.SETTINGS_UNREADABLE, path, "cannot read file '" + file + "' (" + reason + ")");
        }
    }

    private static JsonNode parse(String text) {
        try {
            JsonNode tree = MAPPER.readTree(text);
            if (!tree.isObject()) {
                throw singleFault(Code.SETTINGS_INVALID, "", "the file must contain a JSON object");
            }
            return tree;
        } catch (JsonProcessingException e) {
            String location = e.getLocation() == null
                    ? ""
                    : "line " + e.getLocation().getLineNr() + ", column "
                            + e.getLocation().getColumnNr() + ": ";
            throw singleFault(Code.SETTINGS_INVALID, "", location + e.getOriginalMessage());
        }
    }

    private static ImmutableList<SettingsFault> sharedKeyFaults(ObjectNode peers) {
        if (peers.has(SHARED_KEY) == peers.has(SHARED_KEY_FILE)) {
            String problem = "must have one of " + SHARED_KEY + " and " + SHARED_KEY_FILE;
            return ImmutableList.of(new SettingsFault("peers", problem));
        }
        return ImmutableList.of();
    }

    private static void readSharedKey(Path keyFile, ObjectNode peers) {
        String path = "peers." + SHARED_KEY_FILE;
        String key = readFile(keyFile, path).strip();
        if (key.length() < MIN_SHARED_KEY_LENGTH) {
            String problem = "the file must contain at least " + MIN_SHARED_KEY_LENGTH + " characters";
            throw singleFault(Code.SETTINGS_INVALID, path, problem);
        }
        peers.put(SHARED_KEY, key);
    }

    private static Settings convert(JsonNode tree) {
        try {
            return MAPPER.treeToValue(tree, Settings.class);
        } catch (JsonProcessingException e) {
            throw singleFault(Code.SETTINGS_INVALID, "", e.getOriginalMessage());
        }
    }

    private static List<SettingsFault> crossFieldFaults(Settings settings) {
        List<SettingsFault> faults = new ArrayList<>();
        Settings.Listen listen = settings.listen();
        long fixedPorts = Stream.of(listen.callers(), listen.admin(), listen.peers())
                .filter(address -> address.getPort() != 0)
                .count();
        long distinctPorts = Stream.of(listen.callers(), listen.admin(), listen.peers())
                .filter(address -> address.getPort() != 0)
                .distinct()
                .count();
        if (fixedPorts != distinctPorts) {
            faults.add(new SettingsFault("listen", "callers, admin and peers need an address each"));
        }
        Settings.Timing timing = settings.timing();
        if (timing.authorityMillis() <= 2 * timing.heartbeatMillis()) {
            faults.add(new SettingsFault("timing.authorityMillis", "must be more than twice heartbeatMillis"));
        }
        Set<String> names = new HashSet<>();
        Set<String> keys = new HashSet<>();
        for (Settings.AdminKey key : settings.adminKeys()) {
            if (!names.add(key.name()) || !keys.add(key.sha256())) {
                faults.add(new SettingsFault("adminKeys", "name or key of '" + key.name() + "' is not unique"));
            }
        }
        return faults;
    }

    private static void throwIfAny(Code code, List<SettingsFault> faults) {
        if (!faults.isEmpty()) {
            throw new SettingsException(code, faults);
        }
    }

    private static SettingsException singleFault(Code code, String path, String problem) {
        return new SettingsException(code, ImmutableList.of(new SettingsFault(path, problem)));
    }
}
