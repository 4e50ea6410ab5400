package portrelay.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.util.Map;

public final class Main {

    private Main() {
    }

    public static void main(String[] args) {
        Map<String, Command> commands = Map.of("drill", new DrillCommand(), "serve", new ServeCommand(),
                "check", new CheckCommand(), "version", new VersionCommand());
        JCommander cli = JCommander.newBuilder().programName("portrelay").build();
        commands.forEach(cli::addCommand);
        try {
            cli.parse(args);
        } catch (ParameterException e) {
            System.err.println("portrelay: " + e.getMessage());
        }
        Command command = cli.getParsedCommand() == null ? null : commands.get(cli.getParsedCommand());
        if (command == null) {
            StringBuilder usage = new StringBuilder();
            cli.getUsageFormatter().usage(usage);
            System.err.println(usage);
        }
        System.exit(command == null ? 2 : command.run());
    }
}
