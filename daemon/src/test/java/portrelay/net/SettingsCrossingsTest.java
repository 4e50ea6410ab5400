package portrelay.net;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static portrelay.net.SidecarFixture.answer;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import portrelay.json.JsonTree;
import portrelay.model.LoadBalancerActions;
import portrelay.net.lifecycle.SidecarConfig;
import portrelay.settings.InvalidSettingException;

/** Invalid settings are reported by their path and never crash the start; sidecars of one JVM share no settings. */
@Timeout(30)
class SettingsCrossingsTest {

    private static final String VALID_CONFIG = SidecarFixture.config(
            "127.0.0.1:1",
            "{\"seq\":1,\"hosts\":[" + SidecarFixture.endpointRow("s", "127.0.0.1:2", "SERVING") + "]}",
            1024);
    private static final List<Object> INVALID_VALUES = Arrays.asList(
            null, -1.0, 0.5, 1e300, "", "x", true, List.of(), List.of("x"), Map.of(), Map.of("name", 7.0));

    /** Removes each field in turn, or sets it to each invalid value: this must be accepted or reported by its path. */
    @Test
    void anInvalidSettingIsReportedByItsPath() throws Exception {
        List<String> wrongReports = new ArrayList<>();
        int rejected = tryInvalidValues(JsonTree.parse(VALID_CONFIG.getBytes(UTF_8)), wrongReports);
        assertEquals(List.of(), wrongReports);
        assertTrue(rejected > 300, rejected + " invalid values were reported by their path");
    }

    private int tryInvalidValues(Object root, List<String> wrongReports) throws Exception {
        int rejected = 0;
        for (JsonField field : fields(root, "")) {
            for (Object invalid : INVALID_VALUES) {
                Object original = field.set(invalid);
                String json = new String(JsonTree.write(root), UTF_8);
                try {
                    startWithoutSockets(json);
                } catch (InvalidSettingException e) {
                    rejected++;
                    String reported = e.getMessage().split(":")[0];
                    // The error may name the changed field, one inside it, or one that refers to it.
                    boolean isRightPath = reported.equals("the whole")
                            || reported.startsWith(field.path)
                            || field.path.startsWith(reported)
                            || field.path.startsWith("settings.") && reported.startsWith("settings.");
                    if (!isRightPath || e.getMessage().contains("\n")) {
                        wrongReports.add(field.path + "=" + invalid + " is reported as " + e.getMessage());
                    }
                } catch (RuntimeException e) {
                    wrongReports.add(field.path + "=" + invalid + " threw " + e);
                }
                field.set(original);
            }
        }
        return rejected;
    }

    /** Runs the start of a sidecar without opening its sockets. */
    private static void startWithoutSockets(String json) throws InvalidSettingException {
        SidecarConfig config = SidecarConfig.parse(json.getBytes(UTF_8));
        LoadBalancerActions noActions = (LoadBalancerActions) Proxy.newProxyInstance(
                LoadBalancerActions.class.getClassLoader(),
                new Class<?>[] {LoadBalancerActions.class},
                (self, method, arguments) -> null);
        config.settings().createForSockets(noActions, config.seed(), false).start(0);
        config.ignoredSettings();
    }

    /** A field of a JSON tree, whose value can be replaced. */
    private record JsonField(Object container, Object key, String path) {

        @SuppressWarnings("unchecked")
        Object set(Object value) {
            return container instanceof Map
                    ? ((Map<Object, Object>) container).put(key, value)
                    : ((List<Object>) container).set((int) key, value);
        }
    }

    private static List<JsonField> fields(Object tree, String path) {
        List<JsonField> fields = new ArrayList<>();
        if (tree instanceof Map<?, ?> map) {
            map.forEach((name, value) -> {
                String fieldPath = path.isEmpty() ? (String) name : path + "." + name;
                fields.add(new JsonField(map, name, fieldPath));
                fields.addAll(fields(value, fieldPath));
            });
        } else if (tree instanceof List<?> list) {
            for (int i = 0; i < list.size(); i++) {
                String fieldPath = path + "[" + i + "]";
                fields.add(new JsonField(list, i, fieldPath));
                fields.addAll(fields(list.get(i), fieldPath));
            }
        }
        return fields;
    }

    @Test
    void aDuplicateIsReportedByItsPath() {
        Map<String, String> duplicates = new LinkedHashMap<>();
        duplicates.put("settings.classes[1].name", VALID_CONFIG.replace("\"save\"", "\"read\""));
        duplicates.put("settings.tenants[1].name", VALID_CONFIG.replace("\"beta\"", "\"acme\""));
        duplicates.put("the whole", VALID_CONFIG.replace("\"seed\":", "\"seed\":\"1\",\"seed\":"));
        duplicates.put(
                "the whole ", VALID_CONFIG.replace("\"max-attempts\":4", "\"max-attempts\":4,\"max-attempts\":2"));
        duplicates.forEach((path, json) -> {
            InvalidSettingException e =
                    assertThrows(InvalidSettingException.class, () -> SidecarConfig.parse(json.getBytes(UTF_8)), path);
            assertTrue(e.getMessage().startsWith(path.trim() + ":"), e.getMessage());
        });
    }

    /** Covers names, limits, permissions and the ids of upstreams. */
    @Test
    void twoSidecarsInOneProcessShareNothing() throws Exception {
        try (SidecarFixture first = new SidecarFixture(answer("200 OK", "one"));
                SidecarFixture second = new SidecarFixture(
                        1024,
                        "{}",
                        config -> config.replace("\"read\"", "\"level\"")
                                .replace("\"acme\"", "\"lithium\"")
                                .replace("\"cell\"", "\"all\"")
                                .replace("\"retry-after\":true", "\"retry-after\":false"),
                        answer("200 OK", "other"))) {
            String level = SidecarFixture.readRequest("same", 900)
                    .replace("read", "level")
                    .replace("acme", "lithium");
            assertEquals(
                    "one",
                    new String(
                            first.exchange(SidecarFixture.readRequest("same", 900))
                                    .body(),
                            ISO_8859_1));
            assertEquals("other", new String(second.exchange(level).body(), ISO_8859_1));
            assertEquals(404, first.exchange(level).status());
            assertEquals(
                    404, second.exchange(SidecarFixture.readRequest("a", 900)).status());
            assertEquals(
                    200, first.callAdmin("PUT /control/upstreams/s-0/offline").status());
            assertEquals(200, second.exchange(level).status());
            SidecarFixture.Message rejection = first.exchange(SidecarFixture.readRequest("b", 900));
            assertEquals(429, rejection.status());
            assertEquals("0.25", rejection.header("Retry-After"));
            assertEquals(
                    200, second.callAdmin("PUT /control/upstreams/s-0/offline").status());
            assertEquals(null, second.exchange(level).header("Retry-After"));
            first.sidecar.close();
            assertEquals(429, second.exchange(level).status());
        }
    }
}
