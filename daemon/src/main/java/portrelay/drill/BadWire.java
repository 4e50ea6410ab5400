package portrelay.drill;

import portrelay.settings.BadSetting;

/** Input that breaks the wire's form; the message names the line and what was expected there. */
public final class BadWire extends Exception {

    private static final long serialVersionUID = 1L;

    BadWire(long line, BadSetting cause) {
        super("line " + line + ": " + cause.getMessage());
    }

    BadWire(long line, String expected) {
        super("line " + line + ": expected " + expected);
    }
}
