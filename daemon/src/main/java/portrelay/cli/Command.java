package portrelay.cli;

/** A sub-command. Its options are fields that JCommander sets before the command runs. */
public interface Command {

    /** Runs the command and returns its exit code: 0 for success. */
    int run();
}
