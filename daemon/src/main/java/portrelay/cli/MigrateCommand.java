package portrelay.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import portrelay.json.JsonTree;
import portrelay.net.lifecycle.SidecarConfig;
import portrelay.settings.InvalidSettingException;
import portrelay.settings.Migration;

/** Converts an old configuration for another deployment, by {@link Migration}, and lists what could not be kept. */
@Parameters(
        commandDescription = "turn an old configuration into its counterpart for a new shape of "
                + "deployment; exit 0: all carried over, 1: some left out, 2: bad input and nothing written")
final class MigrateCommand implements Command {

    private static final int ALL_CARRIED_OVER = 0;
    private static final int SOME_LEFT_OUT = 1;
    private static final int INVALID_INPUT = 2;

    @Parameter(names = "--config", required = true, description = "the old configuration, a JSON file")
    private String configFile;

    @Parameter(
            names = "--shape",
            required = true,
            description = "what the new deployment sets, a JSON file with a section settings")
    private String shapeFile;

    @Parameter(names = "--out", description = "the new configuration; never over an existing file")
    private String outFile;

    @Parameter(names = "--dry-run", description = "print the new configuration and write nothing")
    private boolean dryRun;

    @Override
    public int run() {
        try {
            if (outFile == null && !dryRun) {
                throw new InvalidSettingException("--out", "a file's name, or --dry-run");
            }
            byte[] oldJson = ConfigCommand.readFile("--config", configFile);
            checkParses("--config " + configFile, oldJson);
            Migration.Result result = migrate(oldJson, ConfigCommand.readFile("--shape", shapeFile));
            byte[] json = JsonTree.write(result.config());
            checkParses("--shape " + shapeFile, json);
            if (dryRun) {
                System.out.write(json);
                System.out.flush();
            } else {
                write(json);
            }
            result.replaced().forEach(field -> System.err.println("replaced " + field));
            result.leftOut().forEach(field -> System.err.println("left out " + field));
            SidecarConfig.parse(json)
                    .ignoredSettings()
                    .forEach(setting -> System.err.println("not yet on sockets " + setting));
            return result.leftOut().isEmpty() ? ALL_CARRIED_OVER : SOME_LEFT_OUT;
        } catch (InvalidSettingException e) {
            System.err.println("portrelay: " + e.getMessage());
        } catch (IOException e) {
            System.err.println("portrelay: --out: expected a new file that can be written, not " + outFile + ": "
                    + e.getClass().getSimpleName());
        }
        return INVALID_INPUT;
    }

    private Migration.Result migrate(byte[] oldJson, byte[] shapeJson) throws InvalidSettingException {
        try {
            return Migration.of((Map<?, ?>) JsonTree.parse(oldJson), JsonTree.parse(shapeJson));
        } catch (IOException e) {
            throw new InvalidSettingException("--shape " + shapeFile, "well-formed JSON, but " + firstLine(e));
        } catch (InvalidSettingException e) {
            throw new InvalidSettingException("--shape " + shapeFile, e.getMessage());
        }
    }

    private static String firstLine(IOException e) {
        return e.getMessage().lines().findFirst().orElse("");
    }

    private static void checkParses(String file, byte[] json) throws InvalidSettingException {
        try {
            SidecarConfig.parse(json);
        } catch (InvalidSettingException e) {
            throw new InvalidSettingException(file, e.getMessage());
        }
    }

    /**
     * Writes the file completely or not at all, and never over an existing one: creating a link fails if the name is
     * taken.
     */
    private void write(byte[] json) throws IOException {
        Path target = Path.of(outFile).toAbsolutePath();
        if (Files.exists(target)) {
            throw new FileAlreadyExistsException(outFile);
        }
        Path temporary = Files.createTempFile(target.getParent(), ".portrelay", ".json");
        try {
            Files.write(temporary, json);
            Files.createLink(target, temporary);
        } finally {
            Files.delete(temporary);
        }
    }
}
