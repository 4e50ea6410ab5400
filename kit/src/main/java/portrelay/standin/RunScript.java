package portrelay.standin;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.stream.Collectors;

/**
 * Starts processes by deploy/run.sh, so that they have the JVM flags that operators use, but runs this JVM's class path
 * in place of the jar. The archive of the jar's classes doesn't fit that and is left out.
 */
final class RunScript {

    /** In place of java: keeps the flags before -jar, except for the archive. */
    private static final String STAND_IN = """
            #!/bin/sh
            flags=
            while [ "$1" != -jar ]; do
                case $1 in -XX:SharedArchiveFile=*) ;; *) flags="$flags $1" ;; esac
                shift
            done
            shift 2
            exec "$REAL_JAVA" $flags -cp "$REAL_CLASS_PATH" portrelay.cli.Main "$@"
            """;

    private RunScript() {}

    /**
     * Prepares a process that runs the script in the checkout that holds the working directory.
     *
     * @param files a folder for this process alone
     * @throws IOException if there is no such checkout, or the folder is not writable
     */
    static ProcessBuilder command(Path files) throws IOException {
        Path bin = Files.createDirectories(files.resolve("bin"));
        Path java = Path.of(System.getProperty("java.home"), "bin", "java");
        Path standIn = Files.writeString(bin.resolve("java"), STAND_IN);
        if (!standIn.toFile().setExecutable(true)) {
            throw new IOException("not executable: " + standIn);
        }
        ProcessBuilder builder = new ProcessBuilder("bash", find().toString());
        builder.environment().put("REAL_JAVA", java.toString());
        builder.environment().put("REAL_CLASS_PATH", absoluteClassPath());
        builder.environment()
                .merge("PATH", bin.toAbsolutePath().toString(), (path, own) -> own + File.pathSeparator + path);
        return builder;
    }

    /** The script changes the working directory. */
    private static String absoluteClassPath() {
        return Arrays.stream(System.getProperty("java.class.path").split(File.pathSeparator))
                .map(entry -> Path.of(entry).toAbsolutePath().toString())
                .collect(Collectors.joining(File.pathSeparator));
    }

    private static Path find() throws IOException {
        for (Path folder = Path.of("").toAbsolutePath(); folder != null; folder = folder.getParent()) {
            Path script = folder.resolve("deploy").resolve("run.sh");
            if (Files.exists(script)) {
                return script;
            }
        }
        throw new IOException("no deploy/run.sh in the working directory or above it");
    }
}
