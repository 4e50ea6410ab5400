package portrelay.json;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;

/**
 * Reads one value of a document into something other than a tree.
 *
 * @param <E> the exception for a value that is well-formed, but not what is expected
 */
public interface ValueReader<E extends Exception> {

    /** Reads a value whose first token the parser has just read, and leaves the parser at the value's last token. */
    Object read(JsonParser parser) throws IOException, E;
}
