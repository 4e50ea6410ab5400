package portrelay.faulttest.scale;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The client connections that sidecars closed while they were idle, by their logs. A request that was on the wire at
 * that moment was not read: its client sends it once more.
 */
final class IdleCloses {

    private static final Pattern CLOSED =
            Pattern.compile("client connection closed: client=(\\d+) phase=IDLE .*looked-ns=(\\d+) closed-ns=(\\d+)");

    /** How long a request may have been on its way when the sidecar looked for unread bytes for the last time. */
    private static final long MAX_TRANSIT_NANOS = 20_000_000;

    /** How long a client may not have noticed the close; a later request is on another connection of the same port. */
    private static final long MAX_UNNOTICED_NANOS = 200_000_000;

    /** The times are of {@link System#nanoTime}, which all processes of a machine share. */
    private record IdleClose(long lookedAt, long closedAt) {}

    private final Map<Integer, List<IdleClose>> byClientPort = new HashMap<>();

    /** Adds the closes in the log of one process. */
    void add(List<String> log) {
        for (String line : log) {
            Matcher matcher = CLOSED.matcher(line);
            if (matcher.find()) {
                byClientPort
                        .computeIfAbsent(Integer.parseInt(matcher.group(1)), port -> new ArrayList<>())
                        .add(new IdleClose(Long.parseLong(matcher.group(2)), Long.parseLong(matcher.group(3))));
            }
        }
    }

    /** Whether the connection was closed while the request was on the wire, or before it was sent. */
    boolean crossed(SentRequest request) {
        return byClientPort.getOrDefault(request.clientPort(), List.of()).stream()
                .anyMatch(close -> request.sentAt() >= close.lookedAt - MAX_TRANSIT_NANOS
                        && request.sentAt() <= close.closedAt + MAX_UNNOTICED_NANOS
                        && request.endedAt() >= close.closedAt);
    }
}
