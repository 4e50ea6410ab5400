package portrelay.net;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import portrelay.model.GroupId;
import portrelay.model.Listed;
import portrelay.model.ShapeId;
import portrelay.model.UpstreamId;
import portrelay.model.ZoneId;
import portrelay.settings.BadSetting;
import portrelay.settings.Fields;

/** A list of upstreams in discovery's form. */
record ListPage(long version, boolean whole, List<Row> rows) {

    /** The address is null where the upstream is gone. */
    record Row(Listed listed, InetSocketAddress address) { }

    /** Numbers the names of zones and shapes; one for each sidecar, so that a name keeps its number. */
    static final class Numbering {
        private final Map<String, ZoneId> zones = new HashMap<>();
        private final Map<String, ShapeId> shapes = new HashMap<>();

        private ZoneId zone(String name) {
            return zones.computeIfAbsent(name, n -> new ZoneId(zones.size()));
        }

        private ShapeId shape(String name) {
            return shapes.computeIfAbsent(name, n -> new ShapeId(shapes.size()));
        }
    }

    static ListPage read(Fields page, Numbering numbering) throws BadSetting {
        List<Row> rows = new ArrayList<>();
        for (Fields each : page.rows(Names.ROWS)) {
            Listed.Health health = health(each);
            InetSocketAddress address = null;
            if (health != Listed.Health.GONE) {
                address = Addresses.parse(each.text(Names.ADDRESS));
                if (address == null) {
                    throw each.bad(Names.ADDRESS, "a numeric address and a port");
                }
            }
            Listed listed = new Listed(id(each.text(Names.HOST)), health,
                    Clock.fromUnixMillis(each.number(Names.BORN_MS, 0)), each.number(Names.SCALE, 1),
                    new GroupId((long) each.number(Names.CELL, 0)),
                    numbering.zone(each.text(Names.ZONE, "")), numbering.shape(each.text(Names.SHAPE, "")));
            rows.add(new Row(listed, address));
        }
        return new ListPage((long) page.number(Names.VERSION), page.flag(Names.WHOLE), rows);
    }

    /**
     * From the host's name alone (FNV-1a), so that all sidecars and all lives of one know it by the same id.
     */
    private static UpstreamId id(String host) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < host.length(); i++) {
            hash = (hash ^ host.charAt(i)) * 0x100000001b3L;
        }
        return new UpstreamId(hash);
    }

    private static Listed.Health health(Fields row) throws BadSetting {
        return switch (row.text(Names.HEALTH)) {
            case Names.HEALTH_READY -> Listed.Health.READY;
            case Names.HEALTH_DRAINING -> Listed.Health.DRAINING;
            case Names.HEALTH_GONE -> Listed.Health.GONE;
            default -> throw row.bad(Names.HEALTH,
                    Names.HEALTH_READY + ", " + Names.HEALTH_DRAINING + " or " + Names.HEALTH_GONE);
        };
    }
}
