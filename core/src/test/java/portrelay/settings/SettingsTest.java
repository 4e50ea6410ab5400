package portrelay.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import portrelay.model.RequestClass;
import portrelay.model.RequestClassId;
import portrelay.model.TenantId;
import portrelay.model.Topology;

/**
 * Tests the value read from each setting, and the one-line message that operators get for each missing or invalid
 * setting.
 */
class SettingsTest {

    private static Map<String, Object> with(Map<String, Object> fields, String name, Object value) {
        Map<String, Object> copy = new HashMap<>(fields);
        if (value == null) {
            copy.remove(name);
        } else {
            copy.put(name, value);
        }
        return copy;
    }

    private static final Map<String, Object> READ = Map.of(
            "name",
            "read",
            "effect",
            "read_like",
            "group",
            "zone",
            "aim-us",
            200e3,
            "hard-limit-us",
            1e6,
            "dedup-window-us",
            5e6,
            "worth",
            3.0,
            "late-worth",
            0.5,
            "streaming",
            true);
    private static final Map<String, Object> WRITE =
            Map.of("name", "write", "effect", "non_idempotent", "group", "all");
    private static final Map<String, Object> GOLD = Map.of("name", "gold", "share", 0.75, "quota-per-s", 100.0);
    private static final Map<String, Object> ALLOWED = Map.of(
            "max-attempts",
            3.0,
            "cancel",
            true,
            "parallel-tries",
            true,
            "peers",
            true,
            "retry-after",
            true,
            "max-retry-after-us",
            2e6,
            "dial-timeout-us",
            1e6,
            "conn-idle-us",
            3e6,
            "streams-per-conn",
            2.0);
    private static final Map<String, Object> INVARIANTS = Map.of(
            "ask-within-us", 5e6, "cold-share", 0.25, "cold-us", 4e6, "overload-factor", 1.5, "tip-after-us", 7e6);
    private static final Map<String, Object> SETTINGS = Map.of(
            "classes",
            List.of(READ, WRITE),
            "tenants",
            List.of(GOLD, Map.of("name", "other")),
            "allowed",
            ALLOWED,
            "invariants",
            INVARIANTS,
            "discovery",
            "on_request",
            "siblings",
            4.0,
            "me",
            3.0,
            "weights",
            "live",
            "zone",
            "b",
            "dcs",
            List.of("a", "b"));

    private static Settings parse(Map<String, Object> settings) throws InvalidSettingException {
        return new Settings(JsonFields.of(settings, "settings"));
    }

    private static void assertInvalid(String message, String name, Object value) {
        Map<String, Object> settings = with(SETTINGS, name, value);
        InvalidSettingException thrown = assertThrows(InvalidSettingException.class, () -> parse(settings), message);
        assertEquals(message, thrown.getMessage());
    }

    @Test
    void readsEachSetting() throws InvalidSettingException {
        Settings settings = parse(SETTINGS);
        assertEquals(
                new RequestClass(
                        new RequestClassId(0),
                        RequestClass.Idempotency.SAFE,
                        RequestClass.DeduplicationScope.ZONE,
                        0.2,
                        1,
                        5,
                        3,
                        0.5,
                        true),
                settings.requestClass(settings.requestClass("read")));
        assertEquals(
                new RequestClass(
                        new RequestClassId(1),
                        RequestClass.Idempotency.UNSAFE,
                        RequestClass.DeduplicationScope.ALL,
                        0,
                        0,
                        0,
                        1,
                        0,
                        false),
                settings.requestClasses().get(1));
        assertEquals("write", settings.name(new RequestClassId(1)));
        assertEquals(Set.of("read", "write"), settings.requestClassNames());
        assertNull(settings.requestClass("none"));
        assertTrue(settings.hasTenants());
        assertEquals("gold", settings.firstTenantName());
        assertEquals("gold", settings.name(settings.tenant("gold")));
        assertEquals("none", settings.name((TenantId) null));
        assertEquals(0.75, settings.weight(settings.tenant("gold")));
        assertEquals(1, settings.weight(settings.tenant("other")));
        assertEquals(1, settings.weight(null));
        assertEquals(2, settings.maxRetryAfter());
        assertEquals(1, settings.connectTimeout());
        assertEquals(3, settings.connectionIdleTimeout());
        assertEquals(2, settings.streamsPerConnection());
        assertTrue(settings.discoveryIsPolled());
        Topology topology = settings.topology();
        assertEquals(3, topology.sidecarIndex());
        assertEquals(4, topology.sidecarCount());
        assertEquals(Topology.Weights.LIVE, topology.weights());
        assertEquals(Topology.Reports.SILENT, topology.reports());
        assertTrue(topology.peerMessagesAllowed());
        assertFalse(topology.probesAllowed());
    }

    @Test
    void absentSettingsHaveDefaults() throws InvalidSettingException {
        Settings settings = parse(Map.of("allowed", Map.of(), "invariants", Map.of()));
        assertEquals(List.of(), settings.requestClasses());
        assertFalse(settings.hasTenants());
        assertNull(settings.firstTenantName());
        assertEquals(0, settings.maxRetryAfter());
        assertEquals(0, settings.connectTimeout());
        assertEquals(1, settings.streamsPerConnection());
        assertFalse(settings.discoveryIsPolled());
        assertEquals(
                new Topology(0, 1, null, Topology.Weights.SILENT, Topology.Reports.SILENT, false, false),
                settings.topology());
    }

    @Test
    void invalidFieldIsReported() {
        assertInvalid("settings.classes: expected an array", "classes", 1.0);
        assertInvalid("settings.classes[0]: expected an object", "classes", List.of("read"));
        assertInvalid("settings.classes[0].name: expected a string", "classes", List.of(with(READ, "name", null)));
        assertInvalid("settings.classes[1].name: expected a unique name", "classes", List.of(READ, READ));
        assertInvalid(
                "settings.classes[0].effect: expected read_like, idempotency_key or non_idempotent",
                "classes",
                List.of(with(READ, "effect", "none")));
        assertInvalid(
                "settings.classes[0].group: expected all, zone or cell",
                "classes",
                List.of(with(READ, "group", "rack")));
        assertInvalid(
                "settings.classes[0].aim-us: expected a number from 0 to 1000000000000000",
                "classes",
                List.of(with(READ, "aim-us", -1.0)));
        assertInvalid("settings.tenants[1].name: expected a unique name", "tenants", List.of(GOLD, GOLD));
        assertInvalid("settings.allowed: expected an object", "allowed", null);
        assertInvalid("settings.invariants: expected an object", "invariants", List.of());
        assertInvalid(
                "settings.allowed.max-attempts: expected a number from 1 to 1000",
                "allowed",
                with(ALLOWED, "max-attempts", 0.0));
        assertInvalid(
                "settings.allowed.max-attempts: expected a whole number",
                "allowed",
                with(ALLOWED, "max-attempts", 1.5));
        assertInvalid(
                "settings.allowed.streams-per-conn: expected a number",
                "allowed",
                with(ALLOWED, "streams-per-conn", "x"));
        assertInvalid(
                "settings.invariants.cold-share: expected a number from 0 to 1",
                "invariants",
                with(INVARIANTS, "cold-share", Double.NaN));
        assertInvalid("settings.discovery: expected pushed or on_request", "discovery", "poll");
        assertInvalid("settings.siblings: expected a number from 1 to 1000000", "siblings", 0.0);
        assertInvalid("settings.me: expected a number from 0 to 3", "me", 4.0);
        assertInvalid("settings.zone: expected one of dcs, not c", "zone", "c");
        assertInvalid("settings.dcs[0]: expected a string", "dcs", List.of(1.0));
        assertInvalid("settings.weights: expected silent, nominal, rough or live", "weights", "loud");
        assertInvalid("settings.load-report: expected an object", "load-report", "silent");
        assertInvalid(
                "settings.load-report.columns: expected an array of strings", "load-report", Map.of("columns", 1.0));
        assertInvalid(
                "settings.load-report.how: expected silent, piggyback or pull", "load-report", Map.of("how", "push"));
    }

    /** Operators fix one reported field after the other, so the order of the reports must not change. */
    @Test
    void firstOfSeveralInvalidFieldsIsReported() {
        Map<String, Object> settings = new HashMap<>(SETTINGS);
        String[][] invalidFields = {
            {"weights", "settings.weights: expected silent, nominal, rough or live"},
            {"zone", "settings.zone: expected a string"},
            {"me", "settings.me: expected a number"},
            {"siblings", "settings.siblings: expected a number"},
            {"discovery", "settings.discovery: expected a string"},
            {"invariants", "settings.invariants: expected an object"},
            {"allowed", "settings.allowed: expected an object"},
            {"tenants", "settings.tenants: expected an array"},
            {"classes", "settings.classes: expected an array"}
        };
        for (String[] fieldAndMessage : invalidFields) {
            settings.put(fieldAndMessage[0], fieldAndMessage[0].equals("weights") ? "loud" : true);
            InvalidSettingException thrown =
                    assertThrows(InvalidSettingException.class, () -> parse(settings), fieldAndMessage[0]);
            assertEquals(fieldAndMessage[1], thrown.getMessage());
        }
    }

    @Test
    void unknownFieldIsReportedWithKnownNames() throws InvalidSettingException {
        JsonFields fields = JsonFields.of(Map.of("lisen", "x"), "door");
        InvalidSettingException thrown =
                assertThrows(InvalidSettingException.class, () -> fields.rejectUnknown("listen", "seed"));
        assertEquals("door.lisen: expected one of listen, seed as its name", thrown.getMessage());
        assertEquals(
                "the whole: expected an object",
                assertThrows(InvalidSettingException.class, () -> JsonFields.of(1.0, ""))
                        .getMessage());
    }
}
