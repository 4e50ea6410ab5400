package portrelay.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
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

    private JsonTree() {}

    /**
     * Parses a document that consists of one value.
     *
     * @throws IOException if the document is not well-formed or has more than one value
     */
    public static Object parse(byte[] json) throws IOException {
        return parse(new JsonFactory(), json);
    }

    /**
     * Parses a document like {@link #parse}, but rejects an object with a duplicate name, as one of the two values
     * would silently be dropped.
     *
     * @throws IOException if the document is not well-formed, has more than one value or has a duplicate name
     */
    public static Object parseStrict(byte[] json) throws IOException {
        return parse(new JsonFactory().enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION), json);
    }

    private static Object parse(JsonFactory factory, byte[] json) throws IOException {
        try (JsonParser parser = factory.createParser(json)) {
            Object value = read(parser, parser.nextToken());
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
        try (JsonGenerator json = new JsonFactory().createGenerator(out).useDefaultPrettyPrinter()) {
            write(json, tree);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        out.write('\n');
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
        } else if (tree instanceof List<?> list) {
            json.writeStartArray();
            for (Object element : list) {
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

    private static List<Object> readArray(JsonParser json) throws IOException {
        List<Object> list = new ArrayList<>();
        while (json.nextToken() != JsonToken.END_ARRAY) {
            list.add(read(json, json.currentToken()));
        }
        return list;
    }
}
