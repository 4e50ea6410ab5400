package portrelay.simulation;

import portrelay.settings.InvalidSettingException;

/**
 * Thrown for input that violates the simulator's protocol. The message names the line, from 1, and what was expected.
 */
public final class MalformedInputException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Creates an exception for invalid settings in a line. */
    MalformedInputException(long line, InvalidSettingException cause) {
        super("line " + line + ": " + cause.getMessage(), cause);
    }

    /** Creates an exception for a line in which something else was expected. */
    MalformedInputException(long line, String expected) {
        super("line " + line + ": expected " + expected);
    }
}
