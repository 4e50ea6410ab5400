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
 * What the debug log of a sidecar tells of its clients: requests that it read, and connections that it closed. The
 * times are the sidecar's own of {@link System#nanoTime}, which all processes of one machine share on Linux.
 */
public final class SidecarLog {

    private static final Pattern REQUEST_TAKEN = Pattern.compile("request taken: request=(\\S+)");
    private static final Pattern SHUTDOWN_BEGAN = Pattern.compile(" draining: ");
    private static final Pattern IDLE_CLOSED = Pattern.compile("client connection closed: client=(\\d+)"
            + " phase=(?:IDLE|SILENT) cause=(\\w+) looked-ns=(\\d+) closed-ns=(\\d+)");
    /** The cause of the only closes of idle connections that a shutdown needs. */
    private static final String SHUTDOWN_CAUSE = "SHUTDOWN";

    /** From the sidecar's last look for unread bytes on a connection to its close. */
    private record Closing(long lookedAt, long closedAt, boolean isNeeded) {}

    private final Set<String> taken = new HashSet<>();
    /** By client port: the closings of connections on which the sidecar had read nothing of a request. */
    private final Map<Integer, List<Closing>> idleClosings = new HashMap<>();

    /**
     * Reads the lines of a log.
     *
     * @param startedAt before the sidecar was started, by {@link System#nanoTime} of this process
     * @param endedAt after its last line was read
     * @throws IllegalArgumentException where a time of the sidecar lies outside of these: the clocks differ
     */
    public SidecarLog(List<String> lines, long startedAt, long endedAt) {
        boolean isShuttingDown = false;
        for (String line : lines) {
            isShuttingDown |= SHUTDOWN_BEGAN.matcher(line).find();
            Matcher request = REQUEST_TAKEN.matcher(line);
            if (request.find()) {
                taken.add(request.group(1));
            }
            Matcher closed = IDLE_CLOSED.matcher(line);
            if (closed.find()) {
                boolean isNeeded = !isShuttingDown || closed.group(2).equals(SHUTDOWN_CAUSE);
                long lookedAt = Long.parseLong(closed.group(3));
                long closedAt = Long.parseLong(closed.group(4));
                if (lookedAt < startedAt || closedAt > endedAt) {
                    throw new IllegalArgumentException("not this machine's clock: " + line);
                }
                idleClosings
                        .computeIfAbsent(Integer.parseInt(closed.group(1)), port -> new ArrayList<>())
                        .add(new Closing(lookedAt, closedAt, isNeeded));
            }
        }
    }

    /** Whether it has read the request. */
    boolean hasTaken(String requestId) {
        return taken.contains(requestId);
    }

    /**
     * Whether it closed that connection, with nothing of a request read on it, while the request was written: after it
     * had looked for unread bytes and found none. A close that a shutdown does not need, as of a surplus connection,
     * does not count once the shutdown has begun.
     *
     * @param writeBeganAt when the connection's end had not arrived
     * @param writtenAt when the request's last byte had been written
     */
    boolean closedDuring(int clientPort, long writeBeganAt, long writtenAt) {
        return idleClosings.getOrDefault(clientPort, List.of()).stream()
                .anyMatch(closing ->
                        closing.isNeeded && closing.lookedAt <= writtenAt && closing.closedAt >= writeBeganAt);
    }
}
