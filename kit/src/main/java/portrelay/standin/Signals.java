package portrelay.standin;

import static java.nio.charset.StandardCharsets.US_ASCII;

import java.io.IOException;
import java.io.OutputStreamWriter;
import java.io.Writer;

/**
 * Sends signals to processes that this JVM started. Keeps one shell open for all signals, so that each is sent within
 * microseconds; the JDK itself can only send SIGTERM and SIGKILL. Thread-safe.
 */
public final class Signals implements AutoCloseable {

    /** The signals, under their POSIX names without SIG. */
    public enum Signal {
        TERM(15),
        HUP(1),
        STOP(19),
        CONT(18),
        KILL(9);

        private final int number;

        Signal(int number) {
            this.number = number;
        }

        /** Returns the signal's number on Linux. */
        public int number() {
            return number;
        }
    }

    private final Process shell;
    private final Writer commands;

    /**
     * Starts the shell.
     *
     * @throws IOException if no shell can be started
     */
    public Signals() throws IOException {
        shell = new ProcessBuilder("sh")
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        commands = new OutputStreamWriter(shell.getOutputStream(), US_ASCII);
    }

    /**
     * Sends the signal; does nothing if the process has ended.
     *
     * @throws IOException if the shell has ended
     */
    public synchronized void send(Signal signal, Process target) throws IOException {
        if (target.isAlive()) {
            commands.write("kill -" + signal + " " + target.pid() + "\n");
            commands.flush();
        }
    }

    @Override
    public void close() throws IOException {
        commands.close();
        shell.destroy();
    }
}
