package portrelay.cli;

/** A sub-command; returns the exit code. */
interface Command {
    int run();
}
