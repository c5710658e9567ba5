import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parses and writes JSON with maps, lists, strings, numbers, booleans and null. */
final class Json {
    private final String text;
    private int position;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(Object value) {
        return (Map<String, Object>) value;
    }

    @SuppressWarnings("unchecked")
    static List<Object> list(Object value) {
        return value == null ? List.of() : (List<Object>) value;
    }

    static String write(Object value) {
        if (value instanceof Map<?, ?> map) {
            List<String> fields = new ArrayList<>();
            map.forEach((key, field) -> fields.add(write(key) + ":" + write(field)));
            return "{" + String.join(",", fields) + "}";
        }
        if (value instanceof List<?> list) {
            return "[" + String.join(",", list.stream().map(Json::write).toList()) + "]";
        }
        if (value instanceof String string) {
            return "\"" + string.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n") + "\"";
        }
        return String.valueOf(value);
    }

    private char next() {
        while (Character.isWhitespace(text.charAt(position))) {
            position++;
        }
        return text.charAt(position);
    }

    private Object value() {
        char first = next();
        if (first == '{') {
            return objectValue();
        }
        if (first == '[') {
            return listValue();
        }
        return first == '"' ? stringValue() : literal();
    }

    private Map<String, Object> objectValue() {
        Map<String, Object> fields = new LinkedHashMap<>();
        position++;
        while (next() != '}') {
            String key = stringValue();
            next();
            position++;
            fields.put(key, value());
            if (next() == ',') {
                position++;
            }
        }
        position++;
        return fields;
    }

    private List<Object> listValue() {
        List<Object> items = new ArrayList<>();
        position++;
        while (next() != ']') {
            items.add(value());
            if (next() == ',') {
                position++;
            }
        }
        position++;
        return items;
    }

    private String stringValue() {
        next();
        StringBuilder result = new StringBuilder();
        for (position++; text.charAt(position) != '"'; position++) {
            char character = text.charAt(position);
            if (character != '\\') {
                result.append(character);
                continue;
            }
            position++;
            char escaped = text.charAt(position);
            if (escaped == 'u') {
                result.append((char) Integer.parseInt(text.substring(position + 1, position + 5), 16));
                position += 4;
            } else {
                result.append(escaped == 'n' ? '\n' : escaped == 't' ? '\t' : escaped == 'r' ? '\r' : escaped);
            }
        }
        position++;
        return result.toString();
    }

    private Object literal() {
        int start = position;
        while (position < text.length() && "+-.eE0123456789truefalsn".indexOf(text.charAt(position)) >= 0) {
            position++;
        }
        String literal = text.substring(start, position);
        return switch (literal) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> literal.matches("-?[0-9]+") ? (Object) Long.parseLong(literal) : Double.parseDouble(literal);
        };
    }
}
