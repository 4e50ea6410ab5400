package portrelay.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.util.HashMap;
import java.util.Map;

/** The daemon's commands; the kit adds its own to them. */
public final class Main {

    private static final int BAD_USE = 2;

    private Main() {}

    public static void main(String[] args) {
        System.exit(run("portrelay", Map.of(), args));
    }

    /** Runs the command that the arguments name, one of ours or of the further ones; returns the exit code. */
    public static int run(String program, Map<String, Command> further, String[] args) {
        Map<String, Command> commands = new HashMap<>(Map.of(
                "drill",
                new DrillCommand(),
                "serve",
                new ServeCommand(),
                "check",
                new CheckCommand(),
                "migrate",
                new MigrateCommand(),
                "version",
                new VersionCommand()));
        commands.putAll(further);
        JCommander cli = JCommander.newBuilder().programName(program).build();
        commands.forEach(cli::addCommand);
        try {
            cli.parse(args);
        } catch (ParameterException e) {
            System.err.println(program + ": " + e.getMessage());
        }
        Command command = cli.getParsedCommand() == null ? null : commands.get(cli.getParsedCommand());
        if (command == null) {
            StringBuilder usage = new StringBuilder();
            cli.getUsageFormatter().usage(usage);
            System.err.println(usage);
            return BAD_USE;
        }
        return command.run();
    }
}
