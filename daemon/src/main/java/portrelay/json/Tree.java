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

/** Any JSON value as maps, lists, strings, doubles and booleans; for what is read seldom and as a whole. */
public final class Tree {

    private Tree() {}

    /** One value and nothing behind it. */
    public static Object parse(byte[] json) throws IOException {
        return parse(new JsonFactory(), json);
    }

    /** The same; a name that stands twice in one object is a mistake, as one of the two would go unnoticed. */
    public static Object parseOnce(byte[] json) throws IOException {
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

    /** In UTF-8, indented, with a newline at the end; whole numbers are written without a fraction. */
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
            for (Map.Entry<?, ?> each : map.entrySet()) {
                json.writeFieldName((String) each.getKey());
                write(json, each.getValue());
            }
            json.writeEndObject();
        } else if (tree instanceof List<?> list) {
            json.writeStartArray();
            for (Object each : list) {
                write(json, each);
            }
            json.writeEndArray();
        } else if (tree instanceof Double number && number == Math.rint(number) && Math.abs(number) < 1e15) {
            json.writeNumber(number.longValue());
        } else if (tree instanceof Double number) {
            json.writeNumber(number);
        } else if (tree instanceof Boolean truth) {
            json.writeBoolean(truth);
        } else if (tree instanceof String text) {
            json.writeString(text);
        } else {
            json.writeNull();
        }
    }

    /** The value that starts with the token, which was read last. */
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
