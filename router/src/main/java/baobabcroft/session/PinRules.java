package baobabcroft.session;

import baobabcroft.rules.VersionId;
import baobabcroft.session.proto.PinPayload;
import baobabcroft.slot.Decision;
import baobabcroft.slot.Lookup;
import baobabcroft.slot.RecordKey;
import baobabcroft.slot.RecordKind;
import baobabcroft.slot.SlotRecord;
import baobabcroft.slot.Transition;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.function.Supplier;

/** The rules of pins, as pure transitions of a slot: the first writer wins until the session has expired. */
final class PinRules {
    private final SessionSettings settings;

    PinRules(SessionSettings settings) {
        this.settings = settings;
    }

    /** A session's version and when its use was last recorded, in milliseconds since the epoch. */
    record Pin(VersionId version, boolean isNew, long lastUsedEpochMillis) {}

    /** Returns the key of a pin's record. */
    static RecordKey keyOf(String account, String session, String model) {
        return new RecordKey(RecordKind.PIN, account, model + "@" + session);
    }

    /** Returns the transition that looks a session up, records its use now and then, and pins it if it is new. */
    Transition<Pin> pin(RecordKey key, Supplier<VersionId> choice) {
        return (view, nowEpochMillis) -> {
            Lookup lookup = view.find(key);
            if (lookup instanceof Lookup.NotLoaded missing) {
                return new Decision.Load<>(missing.segment());
            }
            if (lookup instanceof Lookup.Present present) {
                Pin found = decode(present.record().payload());
                if (nowEpochMillis - found.lastUsedEpochMillis() < settings.refreshMillis()) {
                    return new Decision.Keep<>(found);
                }
                if (!isForgotten(found, nowEpochMillis)) {
                    return put(key, new Pin(found.version(), false, nowEpochMillis));
                }
            }
            return put(key, new Pin(choice.get(), true, nowEpochMillis));
        };
    }

    /** Returns whether a pin in memory may still be used: instances' clocks may differ by the refresh interval. */
    boolean isUsable(Pin pin, long nowEpochMillis) {
        return nowEpochMillis - pin.lastUsedEpochMillis() < settings.expiryMillis() - settings.refreshMillis();
    }

    /** Returns whether a pin's use is due to be recorded again. */
    boolean isRefreshDue(Pin pin, long nowEpochMillis) {
        return nowEpochMillis - pin.lastUsedEpochMillis() >= settings.refreshMillis();
    }

    private boolean isForgotten(Pin pin, long nowEpochMillis) {
        return nowEpochMillis - pin.lastUsedEpochMillis() >= settings.expiryMillis();
    }

    private Decision<Pin> put(RecordKey key, Pin pin) {
        long usedAtEpochMillis = pin.lastUsedEpochMillis();
        SlotRecord record =
                new SlotRecord(key, encode(pin), usedAtEpochMillis, usedAtEpochMillis + settings.expiryMillis());
        return new Decision.Put<>(record, pin);
    }

    private static ByteString encode(Pin pin) {
        return PinPayload.newBuilder()
                .setModel(pin.version().model())
                .setVersion(pin.version().version())
                .setLastUsedEpochMillis(pin.lastUsedEpochMillis())
                .build()
                .toByteString();
    }

    private static Pin decode(ByteString bytes) {
        try {
            PinPayload payload = PinPayload.parseFrom(bytes);
            VersionId version = new VersionId(payload.getModel(), payload.getVersion());
            return new Pin(version, false, payload.getLastUsedEpochMillis());
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException("malformed pin", e);
        }
    }
}
