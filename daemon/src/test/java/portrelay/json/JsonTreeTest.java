package portrelay.json;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests reading and writing of JSON trees. */
class JsonTreeTest {

    private static Object parse(String json) throws IOException {
        return JsonTree.parse(json.getBytes(UTF_8));
    }

    @Test
    void readsEveryKindOfValue() throws Exception {
        assertEquals(
                Map.of("a", Arrays.asList(1.0, "x", true, null, -2.5), "b", Map.of()),
                parse("{\"a\":[1,\"x\",true,null,-2.5],\"b\":{}}"));
    }

    @Test
    void writtenTreeReadsBackEqual() throws Exception {
        Object tree = Map.of("list", List.of(0.0, 1e15, 0.1, "\u00e4", false), "empty", List.of());
        assertEquals(tree, JsonTree.parse(JsonTree.write(tree)));
    }

    @Test
    void wholeNumbersAreWrittenWithoutAFraction() {
        assertEquals("[ 3, -7, 2.5, 1.0E15 ]\n", new String(JsonTree.write(List.of(3.0, -7.0, 2.5, 1e15)), UTF_8));
    }

    @Test
    void rejectsAnythingButExactlyOneValue() {
        assertThrows(IOException.class, () -> parse(""));
        assertThrows(IOException.class, () -> parse("{"));
        assertThrows(IOException.class, () -> parse("[1] 2"));
    }

    @Test
    void strictParserRejectsDuplicateNames() throws Exception {
        byte[] json = "{\"a\":1,\"a\":2}".getBytes(UTF_8);
        assertEquals(Map.of("a", 2.0), JsonTree.parse(json));
        assertThrows(IOException.class, () -> JsonTree.parseStrict(json));
    }
}
