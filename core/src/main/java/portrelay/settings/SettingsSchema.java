package portrelay.settings;

import java.util.List;
import java.util.Map;

/**
 * Names of all settings, for {@link Migration}, which rejects any other name. Each setting that {@link SettingsParser}
 * reads has to be listed here too; MigrateNetTest fails if one is missing. The two grace periods in {@code invariants}
 * belong to the platform and are not read here, but a migration may carry them over.
 */
final class SettingsSchema {

    /** Settings that are objects, each with the names of its fields. */
    static final Map<String, List<String>> SECTIONS = Map.of(
            "allowed",
                    List.of(
                            "max-attempts",
                            "cancel",
                            "parallel-tries",
                            "probes",
                            "peers",
                            "retry-after",
                            "max-retry-after-us",
                            "dial-timeout-us",
                            "conn-idle-us",
                            "streams-per-conn"),
            "invariants",
                    List.of(
                            "ask-within-us",
                            "cold-share",
                            "cold-us",
                            "overload-factor",
                            "tip-after-us",
                            "drain-grace-us",
                            "grace-to-answer-us"),
            "load-report", List.of("how", "columns"));

    /** All other settings. */
    static final List<String> FIELDS =
            List.of("classes", "tenants", "discovery", "siblings", "weights", "me", "zone", "dcs");

    private SettingsSchema() {}
}
