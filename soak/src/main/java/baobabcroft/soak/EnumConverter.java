package baobabcroft.soak;

import java.util.Arrays;
import java.util.Locale;
import java.util.stream.Collectors;
import joptsimple.ValueConversionException;
import joptsimple.ValueConverter;

/** Converts arguments such as {@code link-cut} to constants. */
final class EnumConverter<E extends Enum<E>> implements ValueConverter<E> {
    private final Class<E> type;

    EnumConverter(Class<E> type) {
        this.type = type;
    }

    @Override
    public E convert(String value) {
        return Arrays.stream(type.getEnumConstants())
                .filter(constant -> nameOf(constant).equals(value))
                .findFirst()
                .orElseThrow(() -> new ValueConversionException("unknown value " + value + ", use " + valuePattern()));
    }

    private static String nameOf(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    @Override
    public Class<? extends E> valueType() {
        return type;
    }

    @Override
    public String valuePattern() {
        return Arrays.stream(type.getEnumConstants()).map(EnumConverter::nameOf).collect(Collectors.joining("|"));
    }
}
