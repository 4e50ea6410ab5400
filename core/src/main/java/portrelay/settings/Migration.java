package portrelay.settings;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Migrates a configuration to another deployment, whose settings are given as a "shape". The sidecar's identity,
 * addresses, request classes, tenants and admission are kept from the old configuration. All other settings are taken
 * from the shape or, where the shape has none, from the old configuration. Each field that is left out and each field
 * that the shape replaces is reported.
 */
public final class Migration {

    private static final String SETTINGS = "settings";
    private static final String KNOWN = "known";
    /** Settings that are always kept, so that the shape must not set them. */
    private static final List<String> KEPT_SETTINGS = List.of("classes", "tenants");
    /** Top-level fields that are carried over to the new configuration. */
    private static final List<String> KEPT_FIELDS =
            List.of("name", "listen", "mgmt", "discovery", "seed", "limits", "door", SETTINGS);

    /**
     * The outcome of a migration.
     *
     * @param config the new configuration
     * @param leftOut a line for each field of the old configuration that was left out
     * @param replaced a line for each field whose old value the shape replaced
     */
    public record Result(Map<String, Object> config, List<String> leftOut, List<String> replaced) {}

    private final List<String> leftOut = new ArrayList<>();
    private final List<String> replaced = new ArrayList<>();

    private Migration() {}

    /**
     * Migrates a valid configuration.
     *
     * @param old the tree of the old configuration, which is not changed
     * @param shape the tree of the shape, an object with the one field {@code settings}
     * @throws InvalidSettingException for a field of the shape that is unknown or that the shape must not set
     */
    public static Result of(Map<?, ?> old, Object shape) throws InvalidSettingException {
        return new Migration().migrate(old, shape);
    }

    private Result migrate(Map<?, ?> old, Object shapeTree) throws InvalidSettingException {
        JsonFields shape = JsonFields.of(shapeTree, "");
        shape.rejectUnknown(SETTINGS);
        Map<?, ?> shapeSettings = map(((Map<?, ?>) shapeTree).get(SETTINGS));
        checkShape(shape.section(SETTINGS), shapeSettings);
        Map<String, Object> config = new LinkedHashMap<>();
        old.forEach((name, value) -> {
            if (name.equals(KNOWN) && !hasNoHosts(value)) {
                leftOut.add(KNOWN + ": upstreams of the old deployment; discovery provides the new ones");
            } else if (KEPT_FIELDS.contains(name)) {
                config.put((String) name, name.equals(SETTINGS) ? mergeSettings(map(value), shapeSettings) : value);
            } else if (!name.equals(KNOWN)) {
                leftOut.add(name + ": not used");
            }
        });
        return new Result(config, leftOut, replaced);
    }

    private static void checkShape(JsonFields fields, Map<?, ?> shapeSettings) throws InvalidSettingException {
        for (Object name : shapeSettings.keySet()) {
            if (KEPT_SETTINGS.contains(name)) {
                throw fields.invalid(
                        name.toString(), "no such field: classes and tenants are kept from the old configuration");
            }
            if (!SettingsSchema.FIELDS.contains(name) && !SettingsSchema.SECTIONS.containsKey(name)) {
                throw fields.invalid(name.toString(), "a setting that portrelay reads");
            }
        }
        // Checked in the order of the shape's file, so that always its first invalid section is reported.
        for (Object name : shapeSettings.keySet()) {
            List<String> knownNames = SettingsSchema.SECTIONS.get(name);
            if (knownNames != null) {
                fields.section(name.toString()).rejectUnknown(knownNames.toArray(String[]::new));
            }
        }
    }

    /** Returns the tree as a map; an empty one if it is not an object. */
    private static Map<?, ?> map(Object tree) {
        return tree instanceof Map<?, ?> map ? map : Map.of();
    }

    private static boolean hasNoHosts(Object known) {
        return known == null || map(known).get("hosts") instanceof List<?> list && list.isEmpty();
    }

    private Map<String, Object> mergeSettings(Map<?, ?> old, Map<?, ?> shapeSettings) {
        Map<String, Object> merged = new LinkedHashMap<>();
        old.forEach((name, value) -> {
            if (SettingsSchema.SECTIONS.containsKey(name)) {
                merged.put(
                        (String) name,
                        mergeSection(
                                SETTINGS + "." + name,
                                SettingsSchema.SECTIONS.get(name),
                                map(value),
                                map(shapeSettings.get(name))));
            } else {
                mergeField(SETTINGS + "." + name, SettingsSchema.FIELDS, (String) name, value, shapeSettings, merged);
            }
        });
        shapeSettings.forEach((name, value) -> merged.putIfAbsent((String) name, value));
        return merged;
    }

    private Map<String, Object> mergeSection(
            String path, List<String> knownNames, Map<?, ?> old, Map<?, ?> shapeFields) {
        Map<String, Object> merged = new LinkedHashMap<>();
        old.forEach(
                (name, value) -> mergeField(path + "." + name, knownNames, (String) name, value, shapeFields, merged));
        shapeFields.forEach((name, value) -> merged.putIfAbsent((String) name, value));
        return merged;
    }

    private void mergeField(
            String path,
            List<String> knownNames,
            String name,
            Object oldValue,
            Map<?, ?> shapeFields,
            Map<String, Object> merged) {
        if (!knownNames.contains(name)) {
            leftOut.add(path + ": no longer used");
            return;
        }
        Object newValue = shapeFields.containsKey(name) ? shapeFields.get(name) : oldValue;
        if (!newValue.equals(oldValue)) {
            replaced.add(path + ": " + oldValue + " before, the shape sets " + newValue);
        }
        merged.put(name, newValue);
    }
}
