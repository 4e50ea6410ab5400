package portrelay.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads and writes JSON values as a tree of {@link Map} (in the order of the text), {@link List}, {@link String},
 * {@link Double}, {@link Boolean} and null. Intended for documents that are read rarely and as a whole.
 */
public final class JsonTree {

    /** Doubles represent every whole number below this exactly; larger numbers are written as doubles. */
    private static final double MAX_WHOLE_NUMBER = 1e15;

    /** Thread-safe, and costly to create for each of thousands of small documents. */
    private static final JsonFactory FACTORY = new JsonFactory();

    private JsonTree() {}

    /**
     * Parses a document that consists of one value.
     *
     * @throws IOException if the document is not well-formed or has more than one value
     */
    public static Object parse(byte[] json) throws IOException {
        return parse(FACTORY.createParser(json), Map.of());
    }

    /**
     * Parses a document like {@link #parse}, but rejects an object with a duplicate name, as one of the two values
     * would silently be dropped.
     *
     * @throws IOException if the document is not well-formed, has more than one value or has a duplicate name
     */
    public static Object parseStrict(byte[] json) throws IOException {
        return parseStrict(json, Map.of());
    }

    /**
     * Parses a document like {@link #parseStrict(byte[])}, but reads some of its values into something other than a
     * tree, as they may be long.
     *
     * @param readers by the names of fields of the document's object
     */
    public static <E extends Exception> Object parseStrict(byte[] json, Map<String, ValueReader<E>> readers)
            throws IOException, E {
        JsonFactory factory = new JsonFactory().enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION);
        return parse(factory.createParser(json), readers);
    }

    /**
     * Parses a document like {@link #parse(byte[])}, as it is read from a stream.
     *
     * @param readers by the names of fields of the document's object
     */
    public static <E extends Exception> Object parse(InputStream json, Map<String, ValueReader<E>> readers)
            throws IOException, E {
        return parse(FACTORY.createParser(json), readers);
    }

    /** Returns a parser that accepts its input in pieces, see {@link JsonParser#getNonBlockingInputFeeder}. */
    public static JsonParser createNonBlockingParser() throws IOException {
        return FACTORY.createNonBlockingByteArrayParser();
    }

    private static <E extends Exception> Object parse(JsonParser json, Map<String, ValueReader<E>> readers)
            throws IOException, E {
        try (JsonParser parser = json) {
            JsonToken first = parser.nextToken();
            Object value = first == JsonToken.START_OBJECT ? readObject(parser, readers) : read(parser, first);
            if (parser.nextToken() != null) {
                throw new JsonParseException(parser, "more than one value");
            }
            return value;
        }
    }

    /**
     * Returns a document in UTF-8, indented and with a newline at the end. Whole numbers below 1e15 are written without
     * a fraction.
     *
     * @param tree a tree of the types above only; a value of any other type is written as null
     */
    public static byte[] write(Object tree) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            write(tree, out);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }

    /**
     * Writes a document like {@link #write(Object)} to a stream.
     *
     * @param tree may have an {@link Iterable} in place of a list, whose elements are created as they are written
     */
    public static void write(Object tree, OutputStream out) throws IOException {
        try (JsonGenerator json = FACTORY.createGenerator(out)
                .disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET)
                .useDefaultPrettyPrinter()) {
            write(json, tree);
        }
        out.write('\n');
    }

    /** Returns a document in UTF-8 without any blanks; otherwise like {@link #write(Object)}. */
    public static byte[] writeCompact(Object tree) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator json = FACTORY.createGenerator(out)) {
            write(json, tree);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }

    private static void write(JsonGenerator json, Object tree) throws IOException {
        if (tree instanceof Map<?, ?> map) {
            json.writeStartObject();
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                json.writeFieldName((String) entry.getKey());
                write(json, entry.getValue());
            }
            json.writeEndObject();
        } else if (tree instanceof Iterable<?> elements) {
            json.writeStartArray();
            for (Object element : elements) {
                write(json, element);
            }
            json.writeEndArray();
        } else if (tree instanceof Double number
                && number == Math.rint(number)
                && Math.abs(number) < MAX_WHOLE_NUMBER) {
            json.writeNumber(number.longValue());
        } else if (tree instanceof Double number) {
            json.writeNumber(number);
        } else if (tree instanceof Boolean bool) {
            json.writeBoolean(bool);
        } else if (tree instanceof String text) {
            json.writeString(text);
        } else {
            json.writeNull();
        }
    }

    /**
     * Reads one value from a parser, and leaves the parser at the value's last token.
     *
     * @param token the value's first token, which the parser has just read; null at the end of input
     * @throws IOException if the input is not well-formed or ends before the value does
     */
    public static Object read(JsonParser json, JsonToken token) throws IOException {
        if (token == null) {
            throw new JsonParseException(json, "input ended before a value did");
        }
        return switch (token) {
            case START_OBJECT -> readObject(json);
            case START_ARRAY -> readArray(json);
            case VALUE_STRING -> json.getText();
            case VALUE_TRUE -> true;
            case VALUE_FALSE -> false;
            case VALUE_NULL -> null;
            default -> json.getDoubleValue();
        };
    }

    private static Map<String, Object> readObject(JsonParser json) throws IOException {
        Map<String, Object> map = new LinkedHashMap<>();
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String name = json.currentName();
            map.put(name, read(json, json.nextToken()));
        }
        return map;
    }

    private static <E extends Exception> Map<String, Object> readObject(
            JsonParser json, Map<String, ValueReader<E>> readers) throws IOException, E {
        Map<String, Object> map = new LinkedHashMap<>();
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String name = json.currentName();
            JsonToken first = json.nextToken();
            ValueReader<E> reader = readers.get(name);
            map.put(name, reader == null ? read(json, first) : reader.read(json));
        }
        return map;
    }

    private static List<Object> readArray(JsonParser json) throws IOException {
        List<Object> list = new ArrayList<>();
        while (json.nextToken() != JsonToken.END_ARRAY) {
            list.add(read(json, json.currentToken()));
        }
        return list;
    }
}
