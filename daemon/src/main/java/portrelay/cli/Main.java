package portrelay.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.util.HashMap;
import java.util.Map;

/** Runs the daemon's commands, and those that the kit adds. */
public final class Main {

    private static final int INVALID_USAGE = 2;

    private static final String SIMULATE = "simulate";
    /** The name of {@code simulate} in earlier versions. */
    private static final String SIMULATE_ALIAS = "drill";

    private Main() {}

    /** Runs the command that the arguments name and exits with its exit code. */
    public static void main(String[] args) {
        System.exit(run("portrelay", Map.of(), args));
    }

    /**
     * Runs the command that the arguments name and returns its exit code. If they name none, prints the usage on
     * standard error and returns 2.
     *
     * @param program name of the program, for messages
     * @param additional further commands by name
     */
    public static int run(String program, Map<String, Command> additional, String[] args) {
        Map<String, Command> commands = new HashMap<>(Map.of(
                SIMULATE,
                new SimulateCommand(SIMULATE),
                SIMULATE_ALIAS,
                new SimulateCommand(SIMULATE_ALIAS),
                "serve",
                new ServeCommand(),
                "check",
                new CheckCommand(),
                "migrate",
                new MigrateCommand(),
                "version",
                new VersionCommand()));
        commands.putAll(additional);
        JCommander parser = JCommander.newBuilder().programName(program).build();
        commands.forEach(parser::addCommand);
        try {
            parser.parse(args);
        } catch (ParameterException e) {
            System.err.println(program + ": " + e.getMessage());
        }
        Command command = parser.getParsedCommand() == null ? null : commands.get(parser.getParsedCommand());
        if (command == null) {
            StringBuilder usage = new StringBuilder();
            parser.getUsageFormatter().usage(usage);
            System.err.println(usage);
            return INVALID_USAGE;
        }
        return command.run();
    }
}
