package portrelay.cli;

import static java.nio.charset.StandardCharsets.US_ASCII;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import portrelay.net.lifecycle.Sidecar;
import portrelay.net.lifecycle.SidecarConfig;
import portrelay.settings.InvalidSettingException;

/** Runs only the warm-up; exits with code 1 if none of its requests was served. */
@Parameters(commandDescription = "read a configuration and try it out in memory, without sockets")
final class CheckCommand extends ConfigCommand {

    private static final int SERVES_NOTHING = 1;
    private static final String ANY_PORT = "127.0.0.1:0";
    private static final String READINESS_REQUEST = "GET /up HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\n\r\n";

    @Parameter(
            names = "--open",
            description = "also start the sidecar, at a loopback port that the system chooses, and shut it down")
    private boolean opensSidecar;

    @Override
    int run(SidecarConfig config) throws IOException, InvalidSettingException {
        config.ignoredSettings().forEach(setting -> System.out.println("not yet on sockets: " + setting));
        boolean serves = Sidecar.check(config);
        System.out.println(serves ? "the configuration serves" : "the configuration served no request");
        if (serves && opensSidecar) {
            open(config.withListen(ANY_PORT).withAdminAddress(ANY_PORT));
            System.out.println("the sidecar starts and shuts down");
        }
        return serves ? 0 : SERVES_NOTHING;
    }

    /** Starts the sidecar and shuts it down. Its log is discarded, as discovery need not be reachable. */
    private static void open(SidecarConfig config) throws IOException, InvalidSettingException {
        Path handoverDirectory = Files.createTempDirectory("portrelay-check");
        try (Sidecar sidecar = Sidecar.start(
                config, new PrintStream(OutputStream.nullOutputStream(), false, US_ASCII), handoverDirectory)) {
            requestReadiness(sidecar);
            sidecar.reload(config);
            sidecar.drain();
        } finally {
            delete(handoverDirectory);
        }
    }

    private static void requestReadiness(Sidecar sidecar) throws IOException {
        try (Socket client =
                new Socket(sidecar.address().getAddress(), sidecar.address().getPort())) {
            client.getOutputStream().write(READINESS_REQUEST.getBytes(US_ASCII));
            client.getInputStream().readAllBytes();
        }
    }

    private static void delete(Path folder) throws IOException {
        List<Path> deepestFirst;
        try (Stream<Path> files = Files.walk(folder)) {
            deepestFirst = files.sorted(Comparator.reverseOrder()).toList();
        }
        for (Path path : deepestFirst) {
            Files.delete(path);
        }
    }
}
