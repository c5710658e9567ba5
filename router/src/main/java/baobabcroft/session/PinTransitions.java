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

/** Transitions of a slot for pins, without side effects: the first writer wins until the session has expired. */
final class PinTransitions {
    private final SessionSettings settings;

    PinTransitions(SessionSettings settings) {
        this.settings = settings;
    }

    /**
     * A session's pinned version.
     *
     * @param version the version
     * @param isNew whether the lookup created the pin
     * @param lastUsedEpochMillis when the session's use was last recorded, in milliseconds since the epoch
     */
    record Pin(VersionId version, boolean isNew, long lastUsedEpochMillis) {}

    /** Returns the key of the record that holds a pin. */
    static RecordKey keyOf(String account, String session, String model) {
        return new RecordKey(RecordKind.PIN, account, model + "@" + session);
    }

    /** Returns the transition that looks up a session, records its use when due, and pins it if new or expired. */
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
                if (!isExpired(found, nowEpochMillis)) {
                    return put(key, new Pin(found.version(), false, nowEpochMillis));
                }
            }
            return put(key, new Pin(choice.get(), true, nowEpochMillis));
        };
    }

    /**
     * Returns whether a cached pin may still be used. Expires one refresh interval early, as clocks of instances may
     * differ by that much.
     */
    boolean isUsable(Pin pin, long nowEpochMillis) {
        return nowEpochMillis - pin.lastUsedEpochMillis() < settings.expiryMillis() - settings.refreshMillis();
    }

    /** Returns whether the use of a pin must be recorded again. */
    boolean isRefreshDue(Pin pin, long nowEpochMillis) {
        return nowEpochMillis - pin.lastUsedEpochMillis() >= settings.refreshMillis();
    }

    private boolean isExpired(Pin pin, long nowEpochMillis) {
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
            throw new IllegalStateException("malformed pin record", e);
        }
    }
}
