package portrelay.kit.cli;

import java.util.Map;
import portrelay.cli.Command;
import portrelay.cli.Main;

/** The main class of the kit's jar: runs the commands of the daemon and those of the kit. */
public final class KitMain {

    private KitMain() {}

    /** Runs a command and exits with its exit code. */
    public static void main(String[] args) {
        Map<String, Command> commands = Map.of(
                "ready",
                new ReadyCommand(),
                "scale",
                new ScaleCommand(),
                "shutdown",
                new ShutdownCommand(),
                "soak",
                new SoakCommand(),
                "overload",
                new OverloadCommand());
        System.exit(Main.run("portrelay-kit", commands, args));
    }
}
