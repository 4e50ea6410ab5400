package portrelay.net;

import io.undertow.server.protocol.http.HttpServerConnection;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/**
 * The clients' connections: what each is at, since when, and which are closed because they only take up room.
 * Undertow limits the time of a head and of the rest between two; bodies, answers and room are left to us.
 */
final class Clients {

    /** What a connection is at, in the order of a query's life. */
    enum Phase { QUIET, READING, ASKED, ANSWERING }

    /** A connection with no open query may be closed after two seconds; one that never spoke, at any time. */
    static final double QUIET_MOST = 2.1;
    private static final double NEVER_SPOKE_MOST = 0.2;
    private static final double BODY_WITHIN = 2;
    private static final double ANSWER_WITHIN = 2.5;
    private static final double EVERY = 0.05;
    /** Of the room for clients; past it the quiet ones make way, else they shut out those who would ask. */
    private static final double CROWDED = 0.75;

    private static final class Line {
        private Phase phase = Phase.QUIET;
        private double since;
        private boolean spoke;
    }

    private final Loop loop;
    /** Longest in its phase first. */
    private final Map<StreamConnection, Line> lines = new LinkedHashMap<>();
    private int crowded = Integer.MAX_VALUE;
    private boolean sweeping;

    Clients(Loop loop) {
        this.loop = loop;
    }

    void room(int most) {
        crowded = (int) (CROWDED * most);
    }

    void opened(StreamConnection socket) {
        Line line = new Line();
        line.since = loop.now();
        lines.put(socket, line);
        sweepLater();
    }

    void at(HttpServerConnection connection, Phase phase) {
        StreamConnection socket = connection.getChannel();
        Line line = lines.remove(socket);
        if (line == null) {
            return;
        }
        if (!line.spoke) {
            line.spoke = true;
            connection.addCloseListener(c -> lines.remove(socket));
        }
        line.phase = phase;
        line.since = loop.now();
        lines.put(socket, line);
    }

    int count() {
        lines.keySet().removeIf(socket -> !socket.isOpen());
        return lines.size();
    }

    void closeQuiet() {
        lines.entrySet().stream().filter(each -> each.getValue().phase == Phase.QUIET).map(Map.Entry::getKey)
                .toList().forEach(IoUtils::safeClose);
    }

    private void sweepLater() {
        if (!sweeping && !lines.isEmpty()) {
            sweeping = true;
            loop.after(EVERY, this::sweep);
        }
    }

    private void sweep() {
        sweeping = false;
        int over = count() - crowded;
        List<StreamConnection> ending = new ArrayList<>();
        for (Map.Entry<StreamConnection, Line> each : lines.entrySet()) {
            Line line = each.getValue();
            double age = loop.now() - line.since;
            boolean end = switch (line.phase) {
                case QUIET -> line.spoke ? over > ending.size() && age > QUIET_MOST
                        : over > 0 && age > NEVER_SPOKE_MOST;
                case READING -> age > BODY_WITHIN;
                case ASKED -> false;
                case ANSWERING -> age > ANSWER_WITHIN;
            };
            if (end) {
                ending.add(each.getKey());
            }
        }
        ending.forEach(IoUtils::safeClose);
        sweepLater();
    }
}
