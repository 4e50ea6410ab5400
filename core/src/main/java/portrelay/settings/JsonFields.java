package portrelay.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Typed access to the fields of one JSON object; each field is checked when it is read. Holds the object's path from
 * the root, so that an {@link InvalidSettingException} can name the field by its full path.
 *
 * <p>Unless its comment says otherwise, a method that reads a field throws {@code InvalidSettingException} if the field
 * is missing or of another type.
 */
public final class JsonFields {

    private final Map<?, ?> map;
    private final String path;

    private JsonFields(Map<?, ?> map, String path) {
        this.map = map;
        this.path = path;
    }

    /**
     * Returns the fields of a JSON tree.
     *
     * @param path the object's path from the root; empty for the root itself
     * @throws InvalidSettingException if the tree is not an object
     */
    public static JsonFields of(Object tree, String path) throws InvalidSettingException {
        if (tree instanceof Map<?, ?> map) {
            return new JsonFields(map, path);
        }
        throw new InvalidSettingException(path.isEmpty() ? "the whole" : path, "an object");
    }

    /** Returns the object as a map from field names to values. */
    public Map<?, ?> asMap() {
        return map;
    }

    /** Whether the field is present and not null. */
    public boolean has(String name) {
        return map.get(name) != null;
    }

    /** Returns an exception that names the field, for the caller to throw. */
    public InvalidSettingException invalid(String name, String expected) {
        return new InvalidSettingException(pathOf(name), expected);
    }

    /** Returns the fields of a required object. */
    public JsonFields section(String name) throws InvalidSettingException {
        return of(map.get(name), pathOf(name));
    }

    /** Returns the elements of an array of objects; empty if the field is absent. */
    public List<JsonFields> objects(String name) throws InvalidSettingException {
        List<JsonFields> elements = new ArrayList<>();
        Object value = map.get(name);
        if (value == null) {
            return elements;
        }
        if (!(value instanceof List<?> list)) {
            throw invalid(name, "an array");
        }
        for (Object element : list) {
            elements.add(of(element, pathOf(name) + "[" + elements.size() + "]"));
        }
        return elements;
    }

    /** Returns a required array of strings. */
    public List<String> strings(String name) throws InvalidSettingException {
        List<String> texts = new ArrayList<>();
        if (!(map.get(name) instanceof List<?> list)) {
            throw invalid(name, "an array of strings");
        }
        for (Object element : list) {
            if (!(element instanceof String text)) {
                throw invalid(name + "[" + texts.size() + "]", "a string");
            }
            texts.add(text);
        }
        return texts;
    }

    /** Returns a required string. */
    public String string(String name) throws InvalidSettingException {
        if (map.get(name) instanceof String text) {
            return text;
        }
        throw invalid(name, "a string");
    }

    /** Returns a string, or the default if the field is absent. */
    public String string(String name, String defaultValue) throws InvalidSettingException {
        return has(name) ? string(name) : defaultValue;
    }

    /** Returns a required number. */
    public double number(String name) throws InvalidSettingException {
        if (map.get(name) instanceof Double number) {
            return number;
        }
        throw invalid(name, "a number");
    }

    /** Returns a number, or the default if the field is absent. */
    public double number(String name, double defaultValue) throws InvalidSettingException {
        return has(name) ? number(name) : defaultValue;
    }

    /** Returns a number from min to max, both inclusive, or the default if the field is absent. */
    public double range(String name, double defaultValue, double min, double max) throws InvalidSettingException {
        double value = number(name, defaultValue);
        if (!(value >= min && value <= max)) {
            throw invalid(name, "a number from " + format(min) + " to " + format(max));
        }
        return value;
    }

    /** Returns a whole number from min to max, both inclusive, or the default if the field is absent. */
    public int integer(String name, int defaultValue, int min, int max) throws InvalidSettingException {
        double value = range(name, defaultValue, min, max);
        if (value != Math.rint(value)) {
            throw invalid(name, "a whole number");
        }
        return (int) value;
    }

    /** Rejects fields of any other name, as a misspelt field would otherwise silently get its default. */
    public void rejectUnknown(String... names) throws InvalidSettingException {
        for (Object name : map.keySet()) {
            if (!List.of(names).contains(name)) {
                throw invalid(String.valueOf(name), "one of " + String.join(", ", names) + " as its name");
            }
        }
    }

    /** Returns a required boolean. */
    public boolean requiredBoolean(String name) throws InvalidSettingException {
        if (map.get(name) instanceof Boolean value) {
            return value;
        }
        throw invalid(name, "true or false");
    }

    /** Whether the field is true; false if it is absent or of another type. */
    public boolean optionalBoolean(String name) {
        return Boolean.TRUE.equals(map.get(name));
    }

    private String pathOf(String name) {
        return path.isEmpty() ? name : path + "." + name;
    }

    private static String format(double number) {
        return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
    }
}
