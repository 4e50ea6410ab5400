package portrelay.net.handover;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import portrelay.json.JsonTree;
import portrelay.model.Hash;
import portrelay.net.eventloop.Log;
import portrelay.settings.InvalidSettingException;

/**
 * The files of one sidecar's processes. Each process has a number, higher than those before it, and by that number a
 * lock file, locked for as long as the process lives, and a state file, replaced as a whole. Nothing of another
 * process's files is trusted: what is torn, foreign or of another form is logged once and ignored. Used on the handover
 * thread; opened on the thread that starts the sidecar.
 */
final class HandoverDirectory {

    /** Of a state file: the longest list of discovery, 4 MiB as it comes and more as it is written, and the rest. */
    private static final long MAX_STATE_BYTES = 16 * 1024 * 1024;

    private final Path directory;
    private final String sidecarName;
    private final Log log;
    private final String prefix;
    private final Pattern lockFileName;
    private final long ownNumber;
    private final FileChannel ownLock;
    private final Map<Long, String> versionRead = new HashMap<>();
    private final Map<Long, HandoverState> statesRead = new HashMap<>();
    private final Set<Long> logged = new HashSet<>();

    /**
     * Takes the next number and its lock.
     *
     * @throws IOException where the directory is missing or not writable, or another process takes the number too
     */
    HandoverDirectory(Path directory, String sidecarName, Log log) throws IOException {
        this.directory = directory;
        this.sidecarName = sidecarName;
        this.log = log;
        prefix = "portrelay-" + Long.toHexString(Hash.of(sidecarName)) + "-";
        lockFileName = Pattern.compile(Pattern.quote(prefix) + "(\\d{1,15})\\.lock");
        long highest = 0;
        for (long number : numbers()) {
            highest = Math.max(highest, number);
        }
        ownNumber = highest + 1;
        ownLock = FileChannel.open(lockFile(ownNumber), StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
        if (ownLock.tryLock() == null) {
            throw new IOException("the lock of process " + ownNumber + " is taken");
        }
    }

    long ownNumber() {
        return ownNumber;
    }

    /** Of all processes that have a lock file, this one among them. */
    Set<Long> numbers() throws IOException {
        Set<Long> numbers = new HashSet<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(directory, prefix + "*.lock")) {
            for (Path file : files) {
                Matcher matcher = lockFileName.matcher(file.getFileName().toString());
                if (matcher.matches()) {
                    numbers.add(Long.parseLong(matcher.group(1)));
                }
            }
        }
        return numbers;
    }

    /** Whether the process holds its lock: the system releases it however the process ends. */
    boolean isAlive(long number) {
        try (FileChannel channel = FileChannel.open(lockFile(number), StandardOpenOption.WRITE);
                FileLock taken = channel.tryLock()) {
            return taken == null;
        } catch (OverlappingFileLockException e) {
            // Held by this JVM: two sidecars of one program.
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Seconds since the lock file was made, by the system's clock; 0 where there is none. */
    double ageSeconds(long number) throws IOException {
        Path file = lockFile(number);
        return Files.exists(file)
                ? (System.currentTimeMillis() - Files.getLastModifiedTime(file).toMillis()) / 1e3
                : 0;
    }

    /** Null where there is none, or none that is valid. Parses a file again only once it has changed. */
    HandoverState read(long number) {
        Path file = stateFile(number);
        try {
            if (!Files.exists(file)) {
                return null;
            }
            String version = version(file);
            if (version.equals(versionRead.put(number, version))) {
                return statesRead.get(number);
            }
            statesRead.remove(number);
            if (Files.size(file) > MAX_STATE_BYTES) {
                throw new IOException("longer than " + MAX_STATE_BYTES + " bytes");
            }
            statesRead.put(number, HandoverStateCodec.decode(JsonTree.parse(Files.readAllBytes(file)), sidecarName));
        } catch (IOException | InvalidSettingException | RuntimeException e) {
            if (logged.add(number)) {
                String cause =
                        String.valueOf(e.getMessage()).lines().findFirst().orElse("");
                log.warn("handover state ignored: process=" + number + " cause=" + cause);
            }
        }
        return statesRead.get(number);
    }

    /** Replaces this process's state atomically: who reads meanwhile finds the previous one. */
    void write(HandoverState state) {
        Path temporary = file(ownNumber, "tmp");
        try {
            Files.write(temporary, JsonTree.write(HandoverStateCodec.encode(state)));
            Files.move(
                    temporary,
                    stateFile(ownNumber),
                    StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            log.warn("handover state not written: cause=" + e);
        }
    }

    /** Deletes what a process that has ended left. */
    void delete(long number) throws IOException {
        Files.deleteIfExists(file(number, "tmp"));
        Files.deleteIfExists(stateFile(number));
        Files.deleteIfExists(lockFile(number));
        statesRead.remove(number);
        versionRead.remove(number);
    }

    void releaseLock() {
        try {
            ownLock.close();
        } catch (IOException e) {
            log.warn("handover lock not released: process=" + ownNumber + " cause=" + e);
        }
    }

    /** The file key tells apart two files of one length, written within one tick of the file system's clock. */
    private static String version(Path file) throws IOException {
        BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
        return attributes.lastModifiedTime() + " " + attributes.size() + " " + attributes.fileKey();
    }

    private Path lockFile(long number) {
        return file(number, "lock");
    }

    private Path stateFile(long number) {
        return file(number, "state");
    }

    private Path file(long number, String kind) {
        return directory.resolve(prefix + number + "." + kind);
    }
}
