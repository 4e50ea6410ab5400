package portrelay.net.discovery;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.List;
import portrelay.json.JsonTree;
import portrelay.model.CellId;
import portrelay.model.Endpoint;
import portrelay.model.Hash;
import portrelay.model.InstanceTypeId;
import portrelay.model.UpstreamId;
import portrelay.model.ZoneId;
import portrelay.net.eventloop.MonotonicClock;
import portrelay.net.http.SocketAddresses;
import portrelay.net.http.WireNames;
import portrelay.settings.InvalidSettingException;
import portrelay.settings.JsonFields;

/**
 * One response of discovery: the complete endpoint list, or its changes.
 *
 * @param version increases with each change of the list
 * @param isComplete whether the page contains all endpoints; otherwise it contains the changed ones
 * @param rows one row for each endpoint, in the order received
 * @param leftOut the number of rows that did not fit into {@link EndpointListLimit}
 */
public record EndpointListPage(long version, boolean isComplete, List<Row> rows, int leftOut) {

    /** The list of a process that has none yet. */
    public static final EndpointListPage NONE = new EndpointListPage(-1, true, List.of(), 0);

    /**
     * The row of one endpoint.
     *
     * @param address null if the endpoint is gone
     * @param json the row as received, as a JSON object without blanks
     */
    record Row(Endpoint endpoint, InetSocketAddress address, byte[] json) {

        /** Returns the row as a JSON tree. */
        Object tree() {
            try {
                return JsonTree.parse(json);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /**
     * Creates a page.
     *
     * @param fields the fields of the page other than its rows
     * @throws InvalidSettingException if a field is missing or invalid; names the first such field
     */
    static EndpointListPage of(JsonFields fields, List<Row> rows, int leftOut) throws InvalidSettingException {
        return new EndpointListPage(
                (long) fields.number(WireNames.VERSION), fields.optionalBoolean(WireNames.IS_COMPLETE), rows, leftOut);
    }

    /**
     * Reads a row.
     *
     * @throws InvalidSettingException if a field is missing or invalid; names the first such field
     */
    static Row readRow(JsonFields row) throws InvalidSettingException {
        Endpoint.Health health = readHealth(row);
        InetSocketAddress address = null;
        if (health != Endpoint.Health.GONE) {
            address = SocketAddresses.parse(row.string(WireNames.ADDRESS));
            if (address == null) {
                throw row.invalid(WireNames.ADDRESS, "a numeric address and a port");
            }
        }
        Endpoint endpoint = new Endpoint(
                new UpstreamId(Hash.of(row.string(WireNames.ENDPOINT_ID))),
                health,
                MonotonicClock.fromUnixMillis(row.number(WireNames.STARTED_AT_MS, 0)),
                row.number(WireNames.WEIGHT, 1),
                new CellId((long) row.number(WireNames.GROUP, 0)),
                ZoneId.of(row.string(WireNames.ZONE, "")),
                new InstanceTypeId((int) Hash.of(row.string(WireNames.INSTANCE_TYPE, ""))));
        return new Row(endpoint, address, JsonTree.writeCompact(row.asMap()));
    }

    private static Endpoint.Health readHealth(JsonFields row) throws InvalidSettingException {
        return switch (row.string(WireNames.HEALTH)) {
            case WireNames.HEALTH_READY -> Endpoint.Health.READY;
            case WireNames.HEALTH_DRAINING -> Endpoint.Health.DRAINING;
            case WireNames.HEALTH_GONE -> Endpoint.Health.GONE;
            default ->
                throw row.invalid(
                        WireNames.HEALTH,
                        WireNames.HEALTH_READY + ", " + WireNames.HEALTH_DRAINING + " or " + WireNames.HEALTH_GONE);
        };
    }
}
