package portrelay.settings;

/** Thrown for a missing or invalid field. The one-line message names the field's path and what is expected there. */
public final class InvalidSettingException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception with the message {@code FIELD: expected WHAT}.
     *
     * @param field the path from the root, such as {@code settings.classes[0].name}
     * @param expected what is expected there
     */
    public InvalidSettingException(String field, String expected) {
        super(field + ": expected " + expected);
    }
}
