package portrelay.json;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Builds the tree of one value from its tokens, one call for each: for input that arrives in pieces. */
public final class JsonTreeBuilder {

    /** An object or array that is not complete yet. */
    private record OpenContainer(Map<String, Object> map, List<Object> list) {}

    private final Deque<OpenContainer> open = new ArrayDeque<>();
    /** The names of the fields whose values are not complete yet. */
    private final Deque<String> names = new ArrayDeque<>();

    private Object result;
    private boolean isComplete;

    /** Whether the last token of the value has been accepted. */
    public boolean isComplete() {
        return isComplete;
    }

    /** Returns the complete value. */
    public Object result() {
        return result;
    }

    /** Accepts the token that the parser has just read. */
    public void accept(JsonParser json, JsonToken token) throws IOException {
        switch (token) {
            case START_OBJECT -> open.push(new OpenContainer(new LinkedHashMap<>(), null));
            case START_ARRAY -> open.push(new OpenContainer(null, new ArrayList<>()));
            case FIELD_NAME -> names.push(json.currentName());
            case END_OBJECT -> add(open.pop().map);
            case END_ARRAY -> add(open.pop().list);
            case VALUE_STRING -> add(json.getText());
            case VALUE_TRUE -> add(true);
            case VALUE_FALSE -> add(false);
            case VALUE_NULL -> add(null);
            default -> add(json.getDoubleValue());
        }
    }

    private void add(Object value) {
        OpenContainer container = open.peek();
        if (container == null) {
            result = value;
            isComplete = true;
        } else if (container.map != null) {
            container.map.put(names.pop(), value);
        } else {
            container.list.add(value);
        }
    }
}
