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

/** Migrates old configurations to a new shape and serves with the result on loopback. */
class MigrateNetTest {

    private static final List<Outcome> OUTCOMES = List.of(Outcome.values()).subList(0, 3);

    private static final String SHAPE = "{\"settings\":{\"siblings\":57,\"me\":3,\"dcs\":[\"a\",\"b\"],"
            + "\"zone\":\"a\",\"discovery\":\"pushed\",\"weights\":\"live\","
            + "\"load-report\":{\"how\":\"piggyback\",\"columns\":[\"load_share\",\"tps\"]},"
            + "\"allowed\":{\"peers\":true,\"probes\":false,\"streams-per-conn\":100}}}";
    private static final String NO_HOSTS = "{\"seq\":1,\"hosts\":[]}";

    @TempDir
    private Path folder;

    private String errors = "";

    private int migrate(String... moreArguments) {
        String[] args = Stream.concat(
                        Stream.of("migrate", "--config", path("old.json"), "--shape", path("shape.json")),
                        Stream.of(moreArguments))
                .toArray(String[]::new);
        PrintStream originalErr = System.err;
        ByteArrayOutputStream logged = new ByteArrayOutputStream();
        System.setErr(new PrintStream(logged, true, UTF_8));
        try {
            return Main.run("portrelay", Map.of(), args);
        } finally {
            System.setErr(originalErr);
            errors = logged.toString(UTF_8);
        }
    }

    private String path(String file) {
        return folder.resolve(file).toString();
    }

    private void writeInput(String old, String shape) throws Exception {
        Files.writeString(folder.resolve("old.json"), old);
        Files.writeString(folder.resolve("shape.json"), shape);
    }

    private List<String> fileNames() throws Exception {
        try (var files = Files.list(folder)) {
            return files.map(each -> each.getFileName().toString()).sorted().toList();
        }
    }

    @Test
    void theMigratedConfigurationServesAndOmittedSettingsAreReported() throws Exception {
        try (ScriptedServer upstream = new ScriptedServer(SidecarFixture.answer("200 OK", "here"));
                ScriptedServer discovery = new ScriptedServer((message, socket) -> {
                    if (!message.startLine().contains("index=")) {
                        SidecarFixture.answer(
                                        "200 OK",
                                        "{\"seq\":9,\"whole\":true,\"hosts\":["
                                                + SidecarFixture.endpointRow("s-0", upstreamAddress, "SERVING") + "]}")
                                .run(message, socket);
                    }
                })) {
            upstreamAddress = upstream.address();
            String known =
                    "{\"seq\":1,\"hosts\":[" + SidecarFixture.endpointRow("s-9", "127.0.0.1:1", "SERVING") + "]}";
            String old = SidecarFixture.config(discovery.address(), known, 256);
            writeInput(old.replace("\"siblings\":1", "\"siblings\":1,\"family-info\":{\"warm-keys\":false}"), SHAPE);
            assertEquals(1, migrate("--out", path("new.json")));
            assertTrue(errors.contains("left out known:"), errors);
            assertTrue(errors.contains("left out settings.family-info:"), errors);
            assertTrue(errors.contains("not yet on sockets settings.allowed.peers:"), errors);
            SidecarConfig migrated = SidecarConfig.parse(Files.readAllBytes(folder.resolve("new.json")));
            assertEquals(57, migrated.settings().topology().sidecarCount());
            assertEquals(100, migrated.settings().streamsPerConnection());
            assertEquals(256, migrated.descriptorLimit());
            assertTrue(Sidecar.check(migrated));
            try (Sidecar sidecar = Sidecar.start(migrated, new PrintStream(OutputStream.nullOutputStream()))) {
                discovery.next();
                discovery.next();
                var address = sidecar.address();
                try (Socket client = new Socket(address.getAddress(), address.getPort())) {
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
        writeInput(SidecarFixture.config("127.0.0.1:1", NO_HOSTS, 256), SHAPE);
        assertEquals(0, migrate("--out", path("new.json")));
        assertFalse(errors.contains("left out"), errors);
    }

    @Test
    void aDryRunWritesNothing() throws Exception {
        writeInput(SidecarFixture.config("127.0.0.1:1", NO_HOSTS, 256), SHAPE);
        PrintStream originalOut = System.out;
        ByteArrayOutputStream printed = new ByteArrayOutputStream();
        System.setOut(new PrintStream(printed));
        try {
            assertEquals(0, migrate("--out", path("new.json"), "--dry-run"));
        } finally {
            System.setOut(originalOut);
        }
        assertEquals(List.of("old.json", "shape.json"), fileNames());
        assertEquals(
                57,
                SidecarConfig.parse(printed.toByteArray()).settings().topology().sidecarCount());
    }

    @Test
    void invalidInputIsReportedInOneLineAndNothingIsWritten() throws Exception {
        String old = SidecarFixture.config("127.0.0.1:1", NO_HOSTS, 256);
        assertRefused("{", SHAPE, "the whole");
        assertRefused(old.replace("idempotency_key", "who knows"), SHAPE, "settings.classes[1].effect");
        assertRefused(old, "[1", "--shape");
        assertRefused(old, "{}", "settings");
        assertRefused(old, SHAPE.replace("\"zone\":\"a\"", "\"zone\":\"c\""), "settings.zone");
        assertRefused(old, SHAPE.replace("piggyback", "perhaps"), "settings.load-report.how");
        assertRefused(old, SHAPE.replace("\"live\"", "\"heavy\""), "settings.weights");
        assertRefused(old, SHAPE.replace("\"pushed\"", "\"guessed\""), "settings.discovery");
        assertRefused(old, SHAPE.replace("\"me\":3", "\"me\":57"), "settings.me");
        assertRefused(old, SHAPE.replace("\"me\":3", "\"me\":-1"), "settings.me");
        assertRefused(old, SHAPE.replace(":100", ":0"), "settings.allowed.streams-per-conn");
        assertRefused(old, SHAPE.replace("\"tps\"", "7"), "settings.load-report.columns[1]");
        assertRefused(old, SHAPE.replace("\"peers\"", "\"piers\""), "settings.allowed.piers");
        assertRefused(old, SHAPE.replace("\"siblings\":57", "\"classes\":[]"), "settings.classes");
        Files.delete(folder.resolve("shape.json"));
        assertEquals(2, migrate("--out", path("new.json")));
        assertEquals(List.of("old.json"), fileNames());
    }

    private void assertRefused(String old, String shape, String path) throws Exception {
        writeInput(old, shape);
        assertEquals(2, migrate("--out", path("new.json")), path);
        assertTrue(errors.contains(path) && errors.lines().count() == 1, errors);
        assertEquals(List.of("old.json", "shape.json"), fileNames());
    }

    @Test
    void anExistingFileIsNeverOverwritten() throws Exception {
        writeInput(SidecarFixture.config("127.0.0.1:1", NO_HOSTS, 256), SHAPE);
        byte[] existing = {1, 2, 3};
        Files.write(folder.resolve("new.json"), existing);
        assertEquals(2, migrate("--out", path("new.json")));
        assertArrayEquals(existing, Files.readAllBytes(folder.resolve("new.json")));
        assertEquals(List.of("new.json", "old.json", "shape.json"), fileNames());
    }

    @Test
    void aMissingOutputDirectoryIsReported() throws Exception {
        writeInput(SidecarFixture.config("127.0.0.1:1", NO_HOSTS, 256), SHAPE);
        assertEquals(2, migrate("--out", path("nowhere/new.json")));
        assertTrue(errors.contains("--out") && errors.lines().count() == 1, errors);
        assertEquals(List.of("old.json", "shape.json"), fileNames());
    }

    /**
     * Guards against a setting that SettingsParser reads and SettingsSchema lacks, which a migration would leave out.
     */
    @Test
    void theExampleMigratesCompletelyWithAnEmptyShape() throws Exception {
        writeInput(Files.readString(Path.of("../examples/config.json")), "{\"settings\":{}}");
        assertEquals(0, migrate("--out", path("new.json")));
        assertEquals("", errors);
    }

    /** Expects the same sequence of actions from an old file and from one that sets each new field to its default. */
    @Test
    void anOldConfigurationActsAsOneWithExplicitDefaults() throws Exception {
        writeInput(
                SidecarFixture.config("127.0.0.1:1", NO_HOSTS, 256),
                "{\"settings\":{\"me\":0,\"siblings\":1,"
                        + "\"weights\":\"silent\",\"load-report\":{\"how\":\"silent\"},\"allowed\":{"
                        + "\"peers\":false,\"probes\":false,\"streams-per-conn\":1}}}");
        assertEquals(0, migrate("--out", path("new.json")));
        List<String> old = recordActions("old.json");
        assertTrue(old.size() > 100);
        assertEquals(old, recordActions("new.json"));
    }

    private List<String> recordActions(String file) throws Exception {
        List<String> actions = new ArrayList<>();
        InvocationHandler recordAction = (proxy, method, arguments) -> {
            actions.add(method.getName() + Arrays.toString(arguments));
            return null;
        };
        LoadBalancerActions recorder = (LoadBalancerActions) Proxy.newProxyInstance(
                LoadBalancerActions.class.getClassLoader(), new Class<?>[] {LoadBalancerActions.class}, recordAction);
        LoadBalancer loadBalancer = SidecarConfig.parse(Files.readAllBytes(folder.resolve(file)))
                .settings()
                .createForSockets(recorder, 7, false);
        loadBalancer.start(100);
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
        loadBalancer.endpointsUpdated(100, EndpointUpdate.COMPLETE, rows);
        SplittableRandom random = new SplittableRandom(3);
        for (int i = 0; i < 200; i++) {
            double now = 100 + i * 0.05;
            RequestId id = new RequestId("q" + i);
            loadBalancer.wakeUp(now);
            loadBalancer.requestArrived(
                    now,
                    new RequestArrival(
                            id, new RequestClassId(i % 3), new TenantId(i % 2), null, now + 0.8, Double.NaN, false));
            RequestId endedId = new RequestId("q" + (i - random.nextInt(4)));
            Outcome outcome = OUTCOMES.get(random.nextInt(OUTCOMES.size()));
            loadBalancer.attemptEnded(now + 0.04, endedId, 0, outcome, outcome == Outcome.SERVED, null);
        }
        return actions;
    }

    /** Guards against features that take effect although the old file does not set them. */
    @Test
    void anOldConfigurationNeitherProbesNorSharesLoad() throws Exception {
        SidecarConfig old = SidecarConfig.parse(
                SidecarFixture.config("127.0.0.1:1", NO_HOSTS, 256).getBytes(ISO_8859_1));
        assertFalse(old.settings().topology().probesLoad()
                || old.settings().topology().sharesLoad());
        assertEquals(1, old.settings().streamsPerConnection());
        assertEquals(List.of(), old.ignoredSettings());
    }
}
