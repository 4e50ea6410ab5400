package portrelay.net.discovery;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import portrelay.json.JsonTree;
import portrelay.json.JsonTreeBuilder;
import portrelay.net.http.WireNames;
import portrelay.settings.InvalidSettingException;
import portrelay.settings.JsonFields;

/**
 * Reads an endpoint list in discovery's format token by token, so that only one row at a time exists as a tree. Holds
 * no more rows than {@link EndpointListLimit} allows. Reads one list.
 */
public final class EndpointListReader {

    /** The share of the ranks that stays when rows have to be left out: few steps, and few more than necessary. */
    private static final double KEPT_RANKS = 0.9;

    private enum Place {
        BEFORE,
        IN_PAGE,
        IN_ROWS,
        AFTER
    }

    private final String path;
    private final EndpointListLimit limit;
    private final Map<String, Object> fields = new HashMap<>();
    private final List<EndpointListPage.Row> rows = new ArrayList<>();
    private Place place = Place.BEFORE;
    private String fieldName;
    /** The value that is being read; null between values. */
    private JsonTreeBuilder value;
    /** Null until the first bytes of a list that arrives in pieces. */
    private JsonParser parser;

    private long rowBytes;
    private long maxRank = Long.MAX_VALUE;
    private int rowCount;

    /** @param path the path of the list from the root of its document, for messages; empty for the root itself */
    public EndpointListReader(String path, EndpointListLimit limit) {
        this.path = path;
        this.limit = limit;
    }

    /**
     * Reads a list that is a value of a document.
     *
     * @param json a parser that has just read the first token of the value
     * @return null if the value is null
     * @throws InvalidSettingException if a field is missing or invalid; names the field
     */
    public static EndpointListPage read(JsonParser json, String path, EndpointListLimit limit)
            throws IOException, InvalidSettingException {
        if (json.currentToken() == JsonToken.VALUE_NULL) {
            return null;
        }
        EndpointListReader reader = new EndpointListReader(path, limit);
        reader.accept(json, json.currentToken());
        while (reader.place != Place.AFTER) {
            JsonToken token = json.nextToken();
            if (token == null) {
                throw new IOException("input ended before the list did");
            }
            reader.accept(json, token);
        }
        return reader.page();
    }

    /**
     * Reads the next bytes of a list that arrives in pieces.
     *
     * @throws IOException if the bytes are not well-formed JSON
     * @throws InvalidSettingException if a field is invalid; names the field
     */
    void feed(byte[] bytes, int count) throws IOException, InvalidSettingException {
        if (parser == null) {
            parser = JsonTree.createNonBlockingParser();
        }
        feeder().feedInput(bytes, 0, count);
        acceptAvailable();
    }

    private ByteArrayFeeder feeder() {
        return (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
    }

    private void acceptAvailable() throws IOException, InvalidSettingException {
        for (JsonToken token = parser.nextToken();
                token != null && token != JsonToken.NOT_AVAILABLE;
                token = parser.nextToken()) {
            accept(parser, token);
        }
    }

    /**
     * Returns the list whose bytes have all been read.
     *
     * @throws IOException if the list is incomplete
     * @throws InvalidSettingException if a field is missing or invalid; names the field
     */
    EndpointListPage end() throws IOException, InvalidSettingException {
        if (parser != null) {
            feeder().endOfInput();
            acceptAvailable();
        }
        if (place != Place.AFTER) {
            throw new IOException("input ended before the list did");
        }
        return page();
    }

    private EndpointListPage page() throws InvalidSettingException {
        return EndpointListPage.of(JsonFields.of(fields, path), rows, rowCount - rows.size());
    }

    private void accept(JsonParser json, JsonToken token) throws IOException, InvalidSettingException {
        if (value != null) {
            value.accept(json, token);
            takeIfComplete();
            return;
        }
        switch (place) {
            case BEFORE -> begin(token);
            case IN_PAGE -> acceptInPage(json, token);
            case IN_ROWS -> acceptInRows(json, token);
            case AFTER -> throw new IOException("more than one value");
        }
    }

    private void begin(JsonToken token) throws InvalidSettingException {
        if (token != JsonToken.START_OBJECT) {
            throw new InvalidSettingException(path.isEmpty() ? "the whole" : path, "an object");
        }
        place = Place.IN_PAGE;
    }

    private void acceptInPage(JsonParser json, JsonToken token) throws IOException, InvalidSettingException {
        if (token == JsonToken.END_OBJECT) {
            place = Place.AFTER;
        } else if (token == JsonToken.FIELD_NAME) {
            fieldName = json.currentName();
        } else if (token == JsonToken.START_ARRAY && WireNames.ENDPOINTS.equals(fieldName)) {
            place = Place.IN_ROWS;
        } else {
            beginValue(json, token);
        }
    }

    private void acceptInRows(JsonParser json, JsonToken token) throws IOException, InvalidSettingException {
        if (token == JsonToken.END_ARRAY) {
            place = Place.IN_PAGE;
        } else {
            beginValue(json, token);
        }
    }

    private void beginValue(JsonParser json, JsonToken token) throws IOException, InvalidSettingException {
        value = new JsonTreeBuilder();
        value.accept(json, token);
        takeIfComplete();
    }

    private void takeIfComplete() throws InvalidSettingException {
        if (!value.isComplete()) {
            return;
        }
        Object complete = value.result();
        value = null;
        if (place == Place.IN_ROWS) {
            takeRow(complete);
        } else if (WireNames.ENDPOINTS.equals(fieldName) && complete != null) {
            throw JsonFields.of(fields, path).invalid(WireNames.ENDPOINTS, "an array");
        } else {
            fields.put(fieldName, complete);
        }
    }

    private void takeRow(Object tree) throws InvalidSettingException {
        String prefix = path.isEmpty() ? "" : path + ".";
        EndpointListPage.Row row =
                EndpointListPage.readRow(JsonFields.of(tree, prefix + WireNames.ENDPOINTS + "[" + rowCount + "]"));
        rowCount++;
        if (limit.rankOf(row.endpoint().id()) <= maxRank) {
            rows.add(row);
            rowBytes += EndpointListLimit.bytesOf(row);
            leaveOutIfTooLong();
        }
    }

    /** Leaves out the rows of the highest ranks, and all further rows of those ranks, until the rest fits. */
    private void leaveOutIfTooLong() {
        while (rowBytes > limit.maxBytes() && rows.size() > 1) {
            maxRank = (long) (maxRank * KEPT_RANKS);
            rows.removeIf(row -> limit.rankOf(row.endpoint().id()) > maxRank);
            rowBytes = rows.stream().mapToLong(EndpointListLimit::bytesOf).sum();
        }
    }
}
