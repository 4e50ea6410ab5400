package portrelay.cli;

/** A sub-command; returns the exit code. */
public interface Command {
    int run();
}
