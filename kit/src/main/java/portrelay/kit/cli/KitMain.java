package portrelay.kit.cli;

import java.util.Map;
import portrelay.cli.Main;

/** Every command of the daemon, and beside them those of the kit. */
public final class KitMain {

    private KitMain() {}

    public static void main(String[] args) {
        System.exit(Main.run("portrelay-kit", Map.of("ready", new ReadyCommand(), "scale", new ScaleCommand()), args));
    }
}
