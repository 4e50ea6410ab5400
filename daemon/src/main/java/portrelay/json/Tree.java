package portrelay.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Any JSON value as maps, lists, strings, doubles and booleans; for what is read seldom and as a whole. */
public final class Tree {

    private Tree() {
    }

    /** One value and nothing behind it. */
    public static Object parse(byte[] json) throws IOException {
        try (JsonParser parser = new JsonFactory().createParser(json)) {
            Object value = read(parser, parser.nextToken());
            if (parser.nextToken() != null) {
                throw new JsonParseException(parser, "more than one value");
            }
            return value;
        }
    }

    /** The value that starts with the token, which was read last. */
    public static Object read(JsonParser json, JsonToken token) throws IOException {
        if (token == null) {
            throw new JsonParseException(json, "input ended before a value did");
        }
        switch (token) {
            case START_OBJECT: {
                Map<String, Object> map = new LinkedHashMap<>();
                while (json.nextToken() == JsonToken.FIELD_NAME) {
                    String name = json.currentName();
                    map.put(name, read(json, json.nextToken()));
                }
                return map;
            }
            case START_ARRAY: {
                List<Object> list = new ArrayList<>();
                while (json.nextToken() != JsonToken.END_ARRAY) {
                    list.add(read(json, json.currentToken()));
                }
                return list;
            }
            case VALUE_STRING:
                return json.getText();
            case VALUE_TRUE:
                return Boolean.TRUE;
            case VALUE_FALSE:
                return Boolean.FALSE;
            case VALUE_NULL:
                return null;
            default:
                return json.getDoubleValue();
        }
    }
}
