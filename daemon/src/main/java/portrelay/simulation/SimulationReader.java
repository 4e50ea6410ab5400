package portrelay.simulation;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.InputStream;
import portrelay.json.JsonTree;

/**
 * Reads the values of the simulator's messages one by one. A message is a JSON array that starts with the message's
 * name. A value of another form than expected causes a {@link MalformedInputException} that names its line and what was
 * expected. The {@code name} parameters are the values' names in the exception's message. Owned by
 * {@link SimulationDriver}.
 */
final class SimulationReader {

    private final JsonParser json;

    SimulationReader(InputStream in) throws IOException {
        json = new JsonFactory().createParser(in);
    }

    /** Returns the number, from 1, of the line being read. */
    long line() {
        return json.currentLocation().getLineNr();
    }

    /** Returns an exception for the value that was read last, for the caller to throw. */
    MalformedInputException malformed(String expected) {
        return new MalformedInputException(json.currentTokenLocation().getLineNr(), expected);
    }

    private JsonToken next() throws IOException, MalformedInputException {
        try {
            return json.nextToken();
        } catch (JsonProcessingException e) {
            long line = e.getLocation() == null ? line() : e.getLocation().getLineNr();
            throw new MalformedInputException(line, "well-formed JSON, but " + e.getOriginalMessage());
        }
    }

    /** Starts the next message and returns its name; null at the end of input. */
    String nextMessage() throws IOException, MalformedInputException {
        JsonToken token = next();
        if (token == null) {
            return null;
        }
        if (token != JsonToken.START_ARRAY) {
            throw malformed("a message, an array that starts with its name");
        }
        if (next() != JsonToken.VALUE_STRING) {
            throw malformed("the message's name as a string");
        }
        return json.getText();
    }

    /** Ends a message, skipping any values that later versions of the protocol may append to the known ones. */
    void endMessage() throws IOException, MalformedInputException {
        for (JsonToken token = next(); token != JsonToken.END_ARRAY; token = next()) {
            if (token == null) {
                throw malformed("the end of the message");
            }
            skipNested();
        }
    }

    private void skipNested() throws IOException, MalformedInputException {
        try {
            json.skipChildren();
        } catch (JsonProcessingException e) {
            throw malformed("well-formed JSON, but " + e.getOriginalMessage());
        }
    }

    /** Reads a whole number of at most 64 bits. */
    long integer(String name) throws IOException, MalformedInputException {
        if (next() != JsonToken.VALUE_NUMBER_INT) {
            throw malformed(name + " as a whole number");
        }
        return currentInteger(name);
    }

    /** Reads a whole number like {@link #integer}; returns the default for null. */
    long integerOr(String name, long defaultValue) throws IOException, MalformedInputException {
        JsonToken token = next();
        if (token == JsonToken.VALUE_NULL) {
            return defaultValue;
        }
        if (token != JsonToken.VALUE_NUMBER_INT) {
            throw malformed(name + " as a whole number or null");
        }
        return currentInteger(name);
    }

    private long currentInteger(String name) throws IOException, MalformedInputException {
        try {
            return json.getLongValue();
        } catch (JsonProcessingException e) {
            throw malformed(name + " within 64 bits");
        }
    }

    double number(String name) throws IOException, MalformedInputException {
        JsonToken token = next();
        if (token == null || !token.isNumeric()) {
            throw malformed(name + " as a number");
        }
        return json.getDoubleValue();
    }

    String text(String name) throws IOException, MalformedInputException {
        if (next() != JsonToken.VALUE_STRING) {
            throw malformed(name + " as a string");
        }
        return json.getText();
    }

    /** Reads a string; returns null for null or 0. */
    String textOrNull(String name) throws IOException, MalformedInputException {
        JsonToken token = next();
        if (token == JsonToken.VALUE_NULL) {
            return null;
        }
        if (token == JsonToken.VALUE_STRING) {
            return json.getText();
        }
        if (token == JsonToken.VALUE_NUMBER_INT && json.getLongValue() == 0) {
            return null;
        }
        throw malformed(name + " as a string or null");
    }

    boolean bool(String name) throws IOException, MalformedInputException {
        JsonToken token = next();
        if (token != JsonToken.VALUE_TRUE && token != JsonToken.VALUE_FALSE) {
            throw malformed(name + " as true or false");
        }
        return token == JsonToken.VALUE_TRUE;
    }

    /** Reads any value in the form that {@link JsonTree#read} returns. */
    Object tree() throws IOException, MalformedInputException {
        JsonToken token = next();
        try {
            return JsonTree.read(json, token);
        } catch (JsonProcessingException e) {
            throw malformed("well-formed JSON, but " + e.getOriginalMessage());
        }
    }

    /** Enters the next row of a list, an array; returns false at the end of the list. */
    boolean nextRow() throws IOException, MalformedInputException {
        JsonToken token = next();
        if (token == JsonToken.START_ARRAY) {
            return true;
        }
        if (token == JsonToken.END_ARRAY) {
            return false;
        }
        throw malformed("a list entry as an array");
    }

    /** Enters a list. */
    void enterList(String name) throws IOException, MalformedInputException {
        if (next() != JsonToken.START_ARRAY) {
            throw malformed(name + " as an array");
        }
    }

    /** Enters an object; returns false for null. */
    boolean enterObject(String name) throws IOException, MalformedInputException {
        JsonToken token = next();
        if (token == JsonToken.VALUE_NULL) {
            return false;
        }
        if (token != JsonToken.START_OBJECT) {
            throw malformed(name + " as an object or null");
        }
        return true;
    }

    /** Returns the next field's name; null at the end of the object. */
    String nextField() throws IOException, MalformedInputException {
        return next() == JsonToken.FIELD_NAME ? json.currentName() : null;
    }

    /** Reads a number; returns NaN for any other value. */
    double numberOrNaN() throws IOException, MalformedInputException {
        JsonToken token = next();
        if (token != null && token.isNumeric()) {
            return json.getDoubleValue();
        }
        skipNested();
        return Double.NaN;
    }
}
