package portrelay.net;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import portrelay.cli.Main;
import portrelay.model.CellId;
import portrelay.model.Endpoint;
import portrelay.model.EndpointUpdate;
import portrelay.model.InstanceTypeId;
import portrelay.model.LoadBalancerActions;
import portrelay.model.Outcome;
import portrelay.model.RequestArrival;
import portrelay.model.RequestClassId;
import portrelay.model.RequestId;
import portrelay.model.TenantId;
import portrelay.model.UpstreamId;
import portrelay.model.ZoneId;
import portrelay.net.SidecarFixture.ScriptedServer;
import portrelay.net.lifecycle.Sidecar;
import portrelay.net.lifecycle.SidecarConfig;
import portrelay.policy.LoadBalancer;

/** An old configuration migrated to a new shape serves on loopback. */
class MigrateNetTest {

    private static final List<Outcome> OUTCOMES = List.of(Outcome.values()).subList(0, 3);

    private static final String SHAPE = "{\"settings\":{\"siblings\":57,\"me\":3,\"dcs\":[\"a\",\"b\"],"
            + "\"zone\":\"a\",\"discovery\":\"pushed\",\"weights\":\"live\","
            + "\"load-report\":{\"how\":\"piggyback\",\"columns\":[\"load_share\",\"tps\"]},"
            + "\"allowed\":{\"peers\":true,\"probes\":false,\"streams-per-conn\":100}}}";
    private static final String NONE = "{\"seq\":1,\"hosts\":[]}";

    @TempDir
    private Path folder;

    private String errors = "";

    private int migrate(String... more) {
        String[] args = Stream.concat(
                        Stream.of("migrate", "--config", at("old.json"), "--shape", at("shape.json")), Stream.of(more))
                .toArray(String[]::new);
        PrintStream before = System.err;
        ByteArrayOutputStream logged = new ByteArrayOutputStream();
        System.setErr(new PrintStream(logged, true, UTF_8));
        try {
            return Main.run("portrelay", Map.of(), args);
        } finally {
            System.setErr(before);
            errors = logged.toString(UTF_8);
        }
    }

    private String at(String file) {
        return folder.resolve(file).toString();
    }

    private void files(String old, String shape) throws Exception {
        Files.writeString(folder.resolve("old.json"), old);
        Files.writeString(folder.resolve("shape.json"), shape);
    }

    private List<String> names() throws Exception {
        try (var files = Files.list(folder)) {
            return files.map(each -> each.getFileName().toString()).sorted().toList();
        }
    }

    @Test
    void theMigratedConfigurationServesAndWhatWasLeftOutIsNamed() throws Exception {
        try (ScriptedServer upstream = new ScriptedServer(SidecarFixture.answer("200 OK", "here"));
                ScriptedServer discovery = new ScriptedServer((message, on) -> {
                    if (!message.startLine().contains("index=")) {
                        SidecarFixture.answer(
                                        "200 OK",
                                        "{\"seq\":9,\"whole\":true,\"hosts\":["
                                                + SidecarFixture.endpointRow("s-0", upstreamAddress, "SERVING") + "]}")
                                .run(message, on);
                    }
                })) {
            upstreamAddress = upstream.address();
            String known =
                    "{\"seq\":1,\"hosts\":[" + SidecarFixture.endpointRow("s-9", "127.0.0.1:1", "SERVING") + "]}";
            String old = SidecarFixture.config(discovery.address(), known, 256);
            files(old.replace("\"siblings\":1", "\"siblings\":1,\"family-info\":{\"warm-keys\":false}"), SHAPE);
            assertEquals(1, migrate("--out", at("new.json")));
            assertTrue(errors.contains("left out known:"), errors);
            assertTrue(errors.contains("left out settings.family-info:"), errors);
            assertTrue(errors.contains("not yet on sockets settings.allowed.peers:"), errors);
            SidecarConfig made = SidecarConfig.parse(Files.readAllBytes(folder.resolve("new.json")));
            assertEquals(57, made.settings().topology().sidecarCount());
            assertEquals(100, made.settings().streamsPerConnection());
            assertEquals(256, made.descriptorLimit());
            assertTrue(Sidecar.check(made));
            try (Sidecar sidecar = Sidecar.start(made, new PrintStream(OutputStream.nullOutputStream()))) {
                discovery.next();
                discovery.next();
                var at = sidecar.address();
                try (Socket client = new Socket(at.getAddress(), at.getPort())) {
                    client.setSoTimeout(5000);
                    byte[] body = SidecarFixture.exchange(client, SidecarFixture.readRequest("a", 900))
                            .body();
                    assertEquals("here", new String(body, ISO_8859_1));
                }
            }
        }
    }

    private volatile String upstreamAddress;

    @Test
    void aCompleteMigrationExitsWithZero() throws Exception {
        files(SidecarFixture.config("127.0.0.1:1", NONE, 256), SHAPE);
        assertEquals(0, migrate("--out", at("new.json")));
        assertFalse(errors.contains("left out"), errors);
    }

    @Test
    void aDryRunWritesNothing() throws Exception {
        files(SidecarFixture.config("127.0.0.1:1", NONE, 256), SHAPE);
        PrintStream before = System.out;
        ByteArrayOutputStream printed = new ByteArrayOutputStream();
        System.setOut(new PrintStream(printed));
        try {
            assertEquals(0, migrate("--out", at("new.json"), "--dry-run"));
        } finally {
            System.setOut(before);
        }
        assertEquals(List.of("old.json", "shape.json"), names());
        assertEquals(
                57,
                SidecarConfig.parse(printed.toByteArray()).settings().topology().sidecarCount());
    }

    @Test
    void invalidInputIsNamedInOneLineAndNothingIsWritten() throws Exception {
        String old = SidecarFixture.config("127.0.0.1:1", NONE, 256);
        refused("{", SHAPE, "the whole");
        refused(old.replace("idempotency_key", "who knows"), SHAPE, "settings.classes[1].effect");
        refused(old, "[1", "--shape");
        refused(old, "{}", "settings");
        refused(old, SHAPE.replace("\"zone\":\"a\"", "\"zone\":\"c\""), "settings.zone");
        refused(old, SHAPE.replace("piggyback", "perhaps"), "settings.load-report.how");
        refused(old, SHAPE.replace("\"live\"", "\"heavy\""), "settings.weights");
        refused(old, SHAPE.replace("\"pushed\"", "\"guessed\""), "settings.discovery");
        refused(old, SHAPE.replace("\"me\":3", "\"me\":57"), "settings.me");
        refused(old, SHAPE.replace("\"me\":3", "\"me\":-1"), "settings.me");
        refused(old, SHAPE.replace(":100", ":0"), "settings.allowed.streams-per-conn");
        refused(old, SHAPE.replace("\"tps\"", "7"), "settings.load-report.columns[1]");
        refused(old, SHAPE.replace("\"peers\"", "\"piers\""), "settings.allowed.piers");
        refused(old, SHAPE.replace("\"siblings\":57", "\"classes\":[]"), "settings.classes");
        Files.delete(folder.resolve("shape.json"));
        assertEquals(2, migrate("--out", at("new.json")));
        assertEquals(List.of("old.json"), names());
    }

    private void refused(String old, String shape, String place) throws Exception {
        files(old, shape);
        assertEquals(2, migrate("--out", at("new.json")), place);
        assertTrue(errors.contains(place) && errors.lines().count() == 1, errors);
        assertEquals(List.of("old.json", "shape.json"), names());
    }

    @Test
    void anExistingFileIsNeverOverwritten() throws Exception {
        files(SidecarFixture.config("127.0.0.1:1", NONE, 256), SHAPE);
        byte[] mine = {1, 2, 3};
        Files.write(folder.resolve("new.json"), mine);
        assertEquals(2, migrate("--out", at("new.json")));
        assertArrayEquals(mine, Files.readAllBytes(folder.resolve("new.json")));
        assertEquals(List.of("new.json", "old.json", "shape.json"), names());
    }

    @Test
    void aMissingDirectoryIsNamed() throws Exception {
        files(SidecarFixture.config("127.0.0.1:1", NONE, 256), SHAPE);
        assertEquals(2, migrate("--out", at("nowhere/new.json")));
        assertTrue(errors.contains("--out") && errors.lines().count() == 1, errors);
        assertEquals(List.of("old.json", "shape.json"), names());
    }

    /** Guards against a name that is added to Settings and not to Migration. */
    @Test
    void theExampleMigratesCompletelyWithAnEmptyShape() throws Exception {
        files(Files.readString(Path.of("../examples/config.json")), "{\"settings\":{}}");
        assertEquals(0, migrate("--out", at("new.json")));
        assertEquals("", errors);
    }

    /** The same actions, one by one, from an old file and from one that sets each new field to its default. */
    @Test
    void anOldFileDecidesAsOneWithExplicitDefaults() throws Exception {
        files(
                SidecarFixture.config("127.0.0.1:1", NONE, 256),
                "{\"settings\":{\"me\":0,\"siblings\":1,"
                        + "\"weights\":\"silent\",\"load-report\":{\"how\":\"silent\"},\"allowed\":{"
                        + "\"peers\":false,\"probes\":false,\"streams-per-conn\":1}}}");
        assertEquals(0, migrate("--out", at("new.json")));
        List<String> old = acts("old.json");
        assertTrue(old.size() > 100);
        assertEquals(old, acts("new.json"));
    }

    private List<String> acts(String file) throws Exception {
        List<String> acts = new ArrayList<>();
        InvocationHandler write = (self, method, arguments) -> {
            acts.add(method.getName() + Arrays.toString(arguments));
            return null;
        };
        LoadBalancerActions effects = (LoadBalancerActions) Proxy.newProxyInstance(
                LoadBalancerActions.class.getClassLoader(), new Class<?>[] {LoadBalancerActions.class}, write);
        LoadBalancer decide = SidecarConfig.parse(Files.readAllBytes(folder.resolve(file)))
                .settings()
                .createForSockets(effects, 7, false);
        decide.start(100);
        List<Endpoint> rows = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            rows.add(new Endpoint(
                    new UpstreamId(i),
                    Endpoint.Health.READY,
                    0,
                    1 + i % 2,
                    new CellId(i / 3),
                    ZoneId.of("z" + i / 3),
                    new InstanceTypeId(0)));
        }
        decide.endpointsUpdated(100, EndpointUpdate.COMPLETE, rows);
        SplittableRandom random = new SplittableRandom(3);
        for (int i = 0; i < 200; i++) {
            double now = 100 + i * 0.05;
            RequestId id = new RequestId("q" + i);
            decide.wakeUp(now);
            decide.requestArrived(
                    now,
                    new RequestArrival(
                            id, new RequestClassId(i % 3), new TenantId(i % 2), null, now + 0.8, Double.NaN, false));
            RequestId ended = new RequestId("q" + (i - random.nextInt(4)));
            Outcome outcome = OUTCOMES.get(random.nextInt(OUTCOMES.size()));
            decide.attemptEnded(now + 0.04, ended, 0, outcome, outcome == Outcome.SERVED, null);
        }
        return acts;
    }

    /** What an old file does not set has no effect. */
    @Test
    void anOldFileNeitherProbesNorSharesLoad() throws Exception {
        SidecarConfig old = SidecarConfig.parse(
                SidecarFixture.config("127.0.0.1:1", NONE, 256).getBytes(ISO_8859_1));
        assertFalse(old.settings().topology().probesLoad()
                || old.settings().topology().sharesLoad());
        assertEquals(1, old.settings().streamsPerConnection());
        assertEquals(List.of(), old.ignoredSettings());
    }
}
