package portrelay.net.eventloop;

import java.io.PrintStream;
import java.time.Instant;
import java.util.function.Supplier;

/**
 * Writes a line per event: time, sidecar, level, text. At the info level and above there is no line per request, as
 * writing it would cost more than the request itself. Thread-safe if the stream is.
 */
public final class Log {

    /** The environment variable that sets the level; the value {@code debug} adds a line per request and attempt. */
    private static final String LEVEL_VARIABLE = "LB_LOG";

    private static final int MAX_TRACE_LINES = 12;
    /** Longest text that {@link #clean} returns, in characters. */
    private static final int MAX_CLEANED_LENGTH = 80;

    private final PrintStream out;
    private final String sidecarName;
    private final boolean isDebug;

    /** Creates a log with the level that the environment sets. */
    public Log(PrintStream out, String sidecarName) {
        this(out, sidecarName, "debug".equals(System.getenv(LEVEL_VARIABLE)));
    }

    /** Creates a log with the debug level if {@code isDebug}, else with the info level. */
    public Log(PrintStream out, String sidecarName, boolean isDebug) {
        this.out = out;
        this.sidecarName = sidecarName;
        this.isDebug = isDebug;
    }

    /**
     * Logs events that are too frequent for the info level, such as those of each request.
     *
     * @param text called only at the debug level
     */
    public void debug(Supplier<String> text) {
        if (isDebug) {
            writeLine("debug", text.get());
        }
    }

    /** Logs a regular event. */
    public void info(String text) {
        writeLine("info", text);
    }

    /** Logs a problem that is not an error in this program. */
    public void warn(String text) {
        writeLine("warn", text);
    }

    /** Logs an error in this program, with the top of its stack trace. */
    public void fault(String text, Throwable cause) {
        writeLine("fault", text + ": " + cause);
        StackTraceElement[] trace = cause.getStackTrace();
        for (int i = 0; i < Math.min(MAX_TRACE_LINES, trace.length); i++) {
            writeLine("fault", "  at " + trace[i]);
        }
    }

    /**
     * Makes untrusted text safe for a log line: replaces all characters except printable ASCII, and truncates long
     * text.
     */
    public static String clean(String text) {
        return text.substring(0, Math.min(MAX_CLEANED_LENGTH, text.length())).replaceAll("[^\\x20-\\x7e]", "?");
    }

    private void writeLine(String level, String text) {
        out.println(Instant.now() + " " + sidecarName + " " + level + " " + text);
    }
}
