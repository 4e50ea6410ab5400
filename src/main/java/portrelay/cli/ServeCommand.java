package portrelay.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;
import portrelay.net.Config;
import portrelay.net.Sidecar;
import portrelay.settings.BadSetting;

@Parameters(commandDescription = "run one sidecar until SIGTERM")
final class ServeCommand implements Command {

    @Parameter(names = "--config", description = "its configuration, a JSON file")
    private String config = System.getenv("LB_CONFIG");

    @Override
    public int run() {
        LogManager.getLogManager().reset();
        Logger.getLogger("").setLevel(Level.OFF);
        if (config == null) {
            return bad("LB_CONFIG: expected a file, or --config FILE");
        }
        try {
            Sidecar sidecar = Sidecar.start(Config.parse(Files.readAllBytes(Path.of(config))), System.err);
            Runtime.getRuntime().addShutdownHook(new Thread(sidecar::drain));
            new CountDownLatch(1).await();
            return 0;
        } catch (BadSetting e) {
            return bad(e.getMessage());
        } catch (IOException e) {
            return bad("LB_CONFIG: " + e);
        } catch (InterruptedException e) {
            return 0;
        }
    }

    private static int bad(String why) {
        System.err.println("portrelay serve: " + why);
        return 2;
    }
}
