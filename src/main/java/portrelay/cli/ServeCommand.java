package portrelay.cli;

import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import portrelay.net.Config;
import portrelay.net.Sidecar;
import portrelay.settings.BadSetting;

@Parameters(commandDescription = "run one sidecar until SIGTERM")
final class ServeCommand extends ConfigCommand {

    @Override
    int run(Config config) throws IOException, BadSetting, InterruptedException {
        Sidecar sidecar = Sidecar.start(config, System.err);
        Runtime.getRuntime().addShutdownHook(new Thread(sidecar::drain));
        new CountDownLatch(1).await();
        return 0;
    }
}
