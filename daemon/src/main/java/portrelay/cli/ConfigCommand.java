package portrelay.cli;

import com.beust.jcommander.Parameter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;
import portrelay.net.lifecycle.SidecarConfig;
import portrelay.settings.InvalidSettingException;

/**
 * A command that takes a sidecar's configuration. An invalid configuration ends it with exit code 2 and one line that
 * names the field.
 */
abstract class ConfigCommand implements Command {

    private static final int INVALID_CONFIGURATION = 2;

    @Parameter(names = "--config", description = "a sidecar's configuration, a JSON file")
    private String configFile = System.getenv(SidecarConfig.CONFIG_FILE_VARIABLE);

    @Parameter(names = "--door", description = "the admission settings, a separate JSON file")
    private String admissionFile;

    /**
     * Runs the command with a validated configuration.
     *
     * @return the exit code
     * @throws IOException reported as an invalid configuration
     * @throws InvalidSettingException reported as an invalid configuration
     */
    abstract int run(SidecarConfig config) throws IOException, InvalidSettingException, InterruptedException;

    @Override
    public final int run() {
        // Turns off logging by libraries, as this process writes its own log.
        LogManager.getLogManager().reset();
        Logger.getLogger("").setLevel(Level.OFF);
        if (configFile == null) {
            return reportInvalidConfiguration(
                    SidecarConfig.CONFIG_FILE_VARIABLE + ": expected a file's name, or --config FILE");
        }
        try {
            return run(withOtherSources(SidecarConfig.parse(readConfigFile())));
        } catch (InvalidSettingException e) {
            return reportInvalidConfiguration(e.getMessage());
        } catch (IOException e) {
            return reportInvalidConfiguration(e.getMessage());
        } catch (InterruptedException e) {
            return 0;
        }
    }

    /** Reads the configuration from its files again, without the cached endpoint list, which takes memory. */
    final SidecarConfig readAgain() throws InvalidSettingException {
        return withOtherSources(SidecarConfig.parseWithoutCachedEndpoints(readConfigFile()));
    }

    private byte[] readConfigFile() throws InvalidSettingException {
        return readFile(SidecarConfig.CONFIG_FILE_VARIABLE, configFile);
    }

    /**
     * Applies the other sources of the configuration. An admin address in the environment takes precedence over that in
     * the file, as it applies to this process only.
     */
    private SidecarConfig withOtherSources(SidecarConfig parsed) throws InvalidSettingException {
        SidecarConfig config = parsed;
        String adminAddress = System.getenv(SidecarConfig.ADMIN_ADDRESS_VARIABLE);
        if (adminAddress != null && !adminAddress.isEmpty()) {
            config = config.withAdminAddress(adminAddress);
        }
        return admissionFile == null ? config : config.withAdmission(readFile("--door", admissionFile));
    }

    /**
     * Returns the contents of a file.
     *
     * @param option option or environment variable that names the file, for the error message
     * @throws InvalidSettingException if the file can't be read
     */
    static byte[] readFile(String option, String file) throws InvalidSettingException {
        try {
            return Files.readAllBytes(Path.of(file));
        } catch (IOException e) {
            throw new InvalidSettingException(option, "a file that can be read, not " + file);
        }
    }

    private static int reportInvalidConfiguration(String message) {
        System.err.println("portrelay: " + message);
        return INVALID_CONFIGURATION;
    }
}
