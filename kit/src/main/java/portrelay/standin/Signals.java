package portrelay.standin;

import static java.nio.charset.StandardCharsets.US_ASCII;

import java.io.IOException;
import java.io.OutputStreamWriter;
import java.io.Writer;

/**
 * Sends signals to processes that this JVM started. One shell stays open for all signals, so that each leaves within
 * microseconds; the JDK itself can only send SIGTERM and SIGKILL. Thread-safe.
 */
public final class Signals implements AutoCloseable {

    /** By their POSIX names. */
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

        /** On Linux. */
        public int number() {
            return number;
        }
    }

    private final Process shell;
    private final Writer commands;

    /** @throws IOException where no shell can be started */
    public Signals() throws IOException {
        shell = new ProcessBuilder("sh")
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        commands = new OutputStreamWriter(shell.getOutputStream(), US_ASCII);
    }

    /**
     * Sends the signal; nothing happens where the process has ended.
     *
     * @throws IOException where the shell has ended
     */
    public synchronized void send(Signal signal, Process to) throws IOException {
        if (to.isAlive()) {
            commands.write("kill -" + signal + " " + to.pid() + "\n");
            commands.flush();
        }
    }

    @Override
    public void close() throws IOException {
        commands.close();
        shell.destroy();
    }
}
