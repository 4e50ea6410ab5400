package portrelay.faulttest;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The requests that a sidecar read and the client connections that it closed, extracted from its debug log. The times
 * in the log are the sidecar's own values of {@link System#nanoTime}, a clock that all processes on one Linux machine
 * share.
 */
public final class SidecarLog {

    private static final Pattern REQUEST_READ = Pattern.compile("request taken: request=(\\S+)");
    private static final Pattern SHUTDOWN_BEGAN = Pattern.compile(" draining: ");
    private static final Pattern IDLE_CLOSED = Pattern.compile("client connection closed: client=(\\d+)"
            + " phase=(?:IDLE|SILENT) cause=(\\w+) looked-ns=(\\d+) closed-ns=(\\d+)");
    /** The only cause for which a sidecar that shuts down has to close idle connections. */
    private static final String SHUTDOWN_CAUSE = "SHUTDOWN";

    /**
     * The close of an idle connection.
     *
     * @param checkedAt when the sidecar last checked the connection for unread bytes
     * @param closedAt when it closed the connection
     * @param isJustified false for a close after the start of a shutdown that the shutdown does not require
     */
    private record IdleClose(long checkedAt, long closedAt, boolean isJustified) {}

    private final Set<String> readRequestIds = new HashSet<>();
    /** By client port: the closes of connections on which the sidecar had read no byte of a request. */
    private final Map<Integer, List<IdleClose>> idleCloses = new HashMap<>();

    /**
     * Parses the lines of a log.
     *
     * @param lines the lines
     * @param startedAt a time before the start of the sidecar, by {@link System#nanoTime} of this process
     * @param endedAt a time after the last line was read
     * @throws IllegalArgumentException if a time in the log is outside that range, as the clocks differ then
     */
    public SidecarLog(List<String> lines, long startedAt, long endedAt) {
        boolean isShuttingDown = false;
        for (String line : lines) {
            isShuttingDown |= SHUTDOWN_BEGAN.matcher(line).find();
            Matcher request = REQUEST_READ.matcher(line);
            if (request.find()) {
                readRequestIds.add(request.group(1));
            }
            Matcher closed = IDLE_CLOSED.matcher(line);
            if (closed.find()) {
                boolean isJustified = !isShuttingDown || closed.group(2).equals(SHUTDOWN_CAUSE);
                long checkedAt = Long.parseLong(closed.group(3));
                long closedAt = Long.parseLong(closed.group(4));
                if (checkedAt < startedAt || closedAt > endedAt) {
                    throw new IllegalArgumentException("time is not of this machine's clock: " + line);
                }
                idleCloses
                        .computeIfAbsent(Integer.parseInt(closed.group(1)), port -> new ArrayList<>())
                        .add(new IdleClose(checkedAt, closedAt, isJustified));
            }
        }
    }

    /** Whether the sidecar has read the request. */
    boolean hasRead(String requestId) {
        return readRequestIds.contains(requestId);
    }

    /**
     * Whether the sidecar closed the connection while the request was written: it had read no byte of a request, had
     * checked for unread bytes and found none. Once a shutdown has begun, a close that it does not require, such as
     * that of a surplus connection, does not count.
     *
     * @param clientPort the client's port
     * @param writeBeganAt a time before the write at which the connection's end had not arrived
     * @param writtenAt when the request's last byte had been written
     */
    boolean closedIdleDuring(int clientPort, long writeBeganAt, long writtenAt) {
        return idleCloses.getOrDefault(clientPort, List.of()).stream()
                .anyMatch(close -> close.isJustified && close.checkedAt <= writtenAt && close.closedAt >= writeBeganAt);
    }
}
