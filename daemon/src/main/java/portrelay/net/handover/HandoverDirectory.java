package portrelay.net.handover;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
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
import portrelay.net.discovery.EndpointListLimit;
import portrelay.net.eventloop.Log;
import portrelay.settings.InvalidSettingException;

/**
 * The handover files of one sidecar's processes. Each process has a number that is higher than those of earlier
 * processes, and two files that are named after the number: a lock file, locked for as long as the process lives, and a
 * state file, replaced as a whole. The files of other processes are not trusted: a state file that is incomplete,
 * belongs to another sidecar or has another form is logged once and ignored. Used on the handover thread; opened on the
 * thread that starts the sidecar.
 */
final class HandoverDirectory {

    /** Longest state file that is read: longer than one with any endpoint list that a process can hold. */
    private static final long MAX_STATE_BYTES = 512 * 1024 * 1024;

    private final Path directory;
    private final String sidecarName;
    private final Log log;
    private final String prefix;
    private final Pattern lockFileName;
    private final long ownNumber;
    private final FileChannel ownLock;
    private final Map<Long, String> readVersions = new HashMap<>();
    private final Map<Long, HandoverState> readStates = new HashMap<>();
    private final Set<Long> loggedNumbers = new HashSet<>();
    /** The part of other processes' endpoint lists that is read; null for none. */
    private EndpointListLimit listLimit;

    /**
     * Takes the next number and locks its lock file.
     *
     * @param listLimit the part of other processes' endpoint lists that is read
     * @throws IOException if the directory is missing or not writable, or if another process takes the same number
     */
    HandoverDirectory(Path directory, String sidecarName, EndpointListLimit listLimit, Log log) throws IOException {
        this.listLimit = listLimit;
        this.directory = directory;
        this.sidecarName = sidecarName;
        this.log = log;
        prefix = "portrelay-" + Long.toHexString(Hash.of(sidecarName)) + "-";
        lockFileName = Pattern.compile(Pattern.quote(prefix) + "(\\d{1,15})\\.lock");
        long highest = 0;
        for (long number : processNumbers()) {
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

    /** Returns the numbers of all processes that have a lock file, including this one. */
    Set<Long> processNumbers() throws IOException {
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

    /** Whether the process holds its lock. The operating system releases the lock however the process ends. */
    boolean isAlive(long number) {
        try (FileChannel channel = FileChannel.open(lockFile(number), StandardOpenOption.WRITE);
                FileLock lock = channel.tryLock()) {
            return lock == null;
        } catch (OverlappingFileLockException e) {
            // This JVM holds the lock: one program runs two sidecars.
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns the seconds since the lock file was created, by the system's clock; 0 if there is no such file. */
    double ageSeconds(long number) throws IOException {
        Path file = lockFile(number);
        return Files.exists(file)
                ? (System.currentTimeMillis() - Files.getLastModifiedTime(file).toMillis()) / 1e3
                : 0;
    }

    /** Returns the state of a process; null if there is no valid one. Parses the file only if it has changed. */
    HandoverState read(long number) {
        Path file = stateFile(number);
        try {
            if (!Files.exists(file)) {
                return null;
            }
            String version = version(file);
            if (version.equals(readVersions.put(number, version))) {
                return readStates.get(number);
            }
            readStates.remove(number);
            if (Files.size(file) > MAX_STATE_BYTES) {
                throw new IOException("longer than " + MAX_STATE_BYTES + " bytes");
            }
            try (InputStream json = Files.newInputStream(file)) {
                readStates.put(number, HandoverStateCodec.decode(json, sidecarName, listLimit));
            }
        } catch (IOException | InvalidSettingException | RuntimeException e) {
            if (loggedNumbers.add(number)) {
                String cause =
                        String.valueOf(e.getMessage()).lines().findFirst().orElse("");
                log.warn("handover state ignored: process=" + number + " cause=" + cause);
            }
        }
        return readStates.get(number);
    }

    /** Drops the endpoint lists that were read, and reads none from now on: this process has its own. */
    void stopReadingLists() {
        listLimit = null;
        readVersions.clear();
        readStates.clear();
    }

    /** Replaces this process's state file atomically: a concurrent reader sees the previous state. */
    void write(HandoverState state) {
        Path temporary = file(ownNumber, "tmp");
        try {
            try (OutputStream json = new BufferedOutputStream(Files.newOutputStream(temporary))) {
                JsonTree.write(HandoverStateCodec.encode(state), json);
            }
            Files.move(
                    temporary,
                    stateFile(ownNumber),
                    StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            log.warn("handover state not written: cause=" + e);
        }
    }

    /** Deletes the files of a process that has ended. */
    void delete(long number) throws IOException {
        Files.deleteIfExists(file(number, "tmp"));
        Files.deleteIfExists(stateFile(number));
        Files.deleteIfExists(lockFile(number));
        readStates.remove(number);
        readVersions.remove(number);
    }

    void releaseLock() {
        try {
            ownLock.close();
        } catch (IOException e) {
            log.warn("handover lock not released: process=" + ownNumber + " cause=" + e);
        }
    }

    /**
     * Returns a text that changes whenever the file is replaced. The file key distinguishes two files of the same
     * length that were written within one tick of the file system's clock.
     */
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
