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

/** Invalid settings are named and never crash the start; sidecars of one JVM share no settings. */
@Timeout(30)
class SettingsCrossingsTest {

    private static final String GOOD = SidecarFixture.config(
            "127.0.0.1:1",
            "{\"seq\":1,\"hosts\":[" + SidecarFixture.endpointRow("s", "127.0.0.1:2", "SERVING") + "]}",
            1024);
    private static final List<Object> BAD = Arrays.asList(
            null, -1.0, 0.5, 1e300, "", "x", true, List.of(), List.of("x"), Map.of(), Map.of("name", 7.0));

    /** Each field in turn is removed or set to each bad value: accepted, or named by its path. */
    @Test
    void anInvalidSettingIsNamedByItsPath() throws Exception {
        List<String> wrong = new ArrayList<>();
        int named = tryAll(JsonTree.parse(GOOD.getBytes(UTF_8)), wrong);
        assertEquals(List.of(), wrong);
        assertTrue(named > 300, named + " were named");
    }

    private int tryAll(Object root, List<String> wrong) throws Exception {
        int named = 0;
        for (JsonField field : fields(root, "")) {
            for (Object bad : BAD) {
                Object before = field.set(bad);
                String json = new String(JsonTree.write(root), UTF_8);
                try {
                    start(json);
                } catch (InvalidSettingException e) {
                    named++;
                    String reported = e.getMessage().split(":")[0];
                    // The error may name the changed field, one inside it, or one that refers to it.
                    boolean isRight = reported.equals("the whole")
                            || reported.startsWith(field.path)
                            || field.path.startsWith(reported)
                            || field.path.startsWith("settings.") && reported.startsWith("settings.");
                    if (!isRight || e.getMessage().contains("\n")) {
                        wrong.add(field.path + "=" + bad + " is called " + e.getMessage());
                    }
                } catch (RuntimeException e) {
                    wrong.add(field.path + "=" + bad + " threw " + e);
                }
                field.set(before);
            }
        }
        return named;
    }

    /** The start of a sidecar without its sockets. */
    private static void start(String json) throws InvalidSettingException {
        SidecarConfig config = SidecarConfig.parse(json.getBytes(UTF_8));
        LoadBalancerActions none = (LoadBalancerActions) Proxy.newProxyInstance(
                LoadBalancerActions.class.getClassLoader(),
                new Class<?>[] {LoadBalancerActions.class},
                (self, method, arguments) -> null);
        config.settings().createForSockets(none, config.seed(), false).start(0);
        config.ignoredSettings();
    }

    /** A place in a JSON tree, whose value can be replaced. */
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
    void aDuplicateIsNamed() {
        Map<String, String> twice = new LinkedHashMap<>();
        twice.put("settings.classes[1].name", GOOD.replace("\"save\"", "\"read\""));
        twice.put("settings.tenants[1].name", GOOD.replace("\"beta\"", "\"acme\""));
        twice.put("the whole", GOOD.replace("\"seed\":", "\"seed\":\"1\",\"seed\":"));
        twice.put("the whole ", GOOD.replace("\"max-attempts\":4", "\"max-attempts\":4,\"max-attempts\":2"));
        twice.forEach((place, json) -> {
            InvalidSettingException e =
                    assertThrows(InvalidSettingException.class, () -> SidecarConfig.parse(json.getBytes(UTF_8)), place);
            assertTrue(e.getMessage().startsWith(place.trim() + ":"), e.getMessage());
        });
    }

    /** Neither names nor limits, permissions nor ids of upstreams. */
    @Test
    void twoSidecarsInOneProcessShareNothing() throws Exception {
        try (SidecarFixture one = new SidecarFixture(answer("200 OK", "one"));
                SidecarFixture other = new SidecarFixture(
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
                            one.exchange(SidecarFixture.readRequest("same", 900))
                                    .body(),
                            ISO_8859_1));
            assertEquals("other", new String(other.exchange(level).body(), ISO_8859_1));
            assertEquals(404, one.exchange(level).status());
            assertEquals(
                    404, other.exchange(SidecarFixture.readRequest("a", 900)).status());
            assertEquals(
                    200, one.callAdmin("PUT /control/upstreams/s-0/offline").status());
            assertEquals(200, other.exchange(level).status());
            SidecarFixture.Message rejected = one.exchange(SidecarFixture.readRequest("b", 900));
            assertEquals(429, rejected.status());
            assertEquals("0.25", rejected.header("Retry-After"));
            assertEquals(
                    200, other.callAdmin("PUT /control/upstreams/s-0/offline").status());
            assertEquals(null, other.exchange(level).header("Retry-After"));
            one.sidecar.close();
            assertEquals(429, other.exchange(level).status());
        }
    }
}
