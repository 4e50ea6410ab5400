package portrelay.net.discovery;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import portrelay.model.UpstreamId;
import portrelay.settings.InvalidSettingException;

/** Tests lists that arrive in pieces, and lists that are longer than a process may hold. */
class EndpointListReaderTest {

    private static final EndpointListLimit NO_LIMIT = new EndpointListLimit(Long.MAX_VALUE, 1);
    private static final int MANY = 6400;

    private static String row(int id) {
        return "{\"host\":\"s-" + id + "\",\"dial\":\"127.0.0.1:9\",\"site\":\"\u00e4\",\"class\":\"m\",\"block\":" + id
                + ",\"health\":\"SERVING\",\"share\":1.5,\"born_ms\":0,\"other\":{\"a\":[1,null,true]}}";
    }

    private static String list(int count) {
        String rows =
                IntStream.range(0, count).mapToObj(EndpointListReaderTest::row).collect(Collectors.joining(",\n"));
        return "{\"hosts\":[" + rows + "],\"seq\":41,\"note\":[{}],\"whole\":true}";
    }

    private static EndpointListPage read(String json, int pieceBytes, EndpointListLimit limit)
            throws IOException, InvalidSettingException {
        EndpointListReader reader = new EndpointListReader("", limit);
        byte[] bytes = json.getBytes(UTF_8);
        for (int at = 0; at < bytes.length; at += pieceBytes) {
            int count = Math.min(pieceBytes, bytes.length - at);
            byte[] piece = new byte[count];
            System.arraycopy(bytes, at, piece, 0, count);
            reader.feed(piece, count);
        }
        return reader.end();
    }

    private static Set<UpstreamId> ids(EndpointListPage page) {
        return page.rows().stream().map(row -> row.endpoint().id()).collect(Collectors.toSet());
    }

    private static List<Object> trees(EndpointListPage page) {
        return page.rows().stream().map(EndpointListPage.Row::tree).toList();
    }

    @Test
    void aListIsTheSameInPiecesOfAnySize() throws Exception {
        EndpointListPage whole = read(list(20), Integer.MAX_VALUE / 2, NO_LIMIT);
        assertEquals(41, whole.version());
        assertTrue(whole.isComplete());
        assertEquals(20, whole.rows().size());
        for (int pieceBytes : new int[] {1, 2, 7, 100, 4096}) {
            EndpointListPage page = read(list(20), pieceBytes, NO_LIMIT);
            assertEquals(trees(whole), trees(page));
            assertEquals(ids(whole), ids(page));
        }
    }

    @Test
    void whatIsNoListIsRejectedWithItsPlace() {
        List<String> broken = List.of(
                "[]",
                "5",
                "{\"seq\":1,\"hosts\":7}",
                "{\"seq\":1,\"hosts\":[7]}",
                "{\"hosts\":[]}",
                list(2).replace("SERVING", "LOST"));
        List<String> places = List.of("the whole", "the whole", "hosts", "hosts[0]", "seq", "hosts[0].health");
        for (int i = 0; i < broken.size(); i++) {
            String json = broken.get(i);
            InvalidSettingException invalid =
                    assertThrows(InvalidSettingException.class, () -> read(json, 3, NO_LIMIT), json);
            assertTrue(invalid.getMessage().startsWith(places.get(i) + ":"), invalid.getMessage());
        }
        for (String json : List.of("", "{\"seq\":1,\"hosts\":[", list(2) + "{}", "{\"seq\":x}")) {
            assertThrows(IOException.class, () -> read(json, 3, NO_LIMIT), json);
        }
    }

    /** Guards against a list that takes all of the memory: a process holds the same part of each of its versions. */
    @Test
    void ofAListThatDoesNotFitTheSamePartIsHeldAndTheRestCounted() throws Exception {
        EndpointListLimit limit = new EndpointListLimit(2_000_000, 1);
        EndpointListPage page = read(list(MANY), 4096, limit);
        long bytes = page.rows().stream().mapToLong(EndpointListLimit::bytesOf).sum();
        assertTrue(bytes <= limit.maxBytes() && bytes > limit.maxBytes() / 2, "held: " + bytes);
        assertEquals(MANY, page.rows().size() + page.leftOut());
        assertEquals(ids(page), ids(read(list(MANY), 100, limit)));
        Set<UpstreamId> atBoth = new HashSet<>(ids(page));
        atBoth.retainAll(ids(read(list(MANY), 4096, new EndpointListLimit(2_000_000, 2))));
        assertTrue(atBoth.size() < page.rows().size() / 2, "sidecars hold the same part: " + atBoth.size());
    }

    @Test
    void thousandsOfRowsWithLongNamesFitIntoTheSmallestHeapOfTheLauncher() {
        EndpointListLimit limit = EndpointListLimit.ofHeap(32 * 1024 * 1024, 1);
        String name = "x".repeat(600);
        assertTrue(1024L * (EndpointListLimit.bytesOf(rowNamed(name)) + 1000) < limit.maxBytes());
        assertTrue(6400L * EndpointListLimit.bytesOf(rowNamed("s")) < limit.maxBytes());
    }

    private static EndpointListPage.Row rowNamed(String name) {
        try {
            return read("{\"seq\":1,\"hosts\":[" + row(1).replace("s-1", name) + "]}", 4096, NO_LIMIT)
                    .rows()
                    .get(0);
        } catch (IOException | InvalidSettingException e) {
            throw new AssertionError(e);
        }
    }
}
