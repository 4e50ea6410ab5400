package portrelay.net.discovery;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
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
 */
public record EndpointListPage(long version, boolean isComplete, List<Row> rows) {

    /**
     * The row of one endpoint.
     *
     * @param address null if the endpoint is gone
     * @param tree the row as received, as a JSON object
     */
    record Row(Endpoint endpoint, InetSocketAddress address, Object tree) {}

    /**
     * Reads an endpoint list in discovery's format.
     *
     * @throws InvalidSettingException if a field is missing or invalid; names the first such field
     */
    public static EndpointListPage read(JsonFields page) throws InvalidSettingException {
        List<Row> rows = new ArrayList<>();
        for (JsonFields row : page.objects(WireNames.ENDPOINTS)) {
            rows.add(readRow(row));
        }
        return new EndpointListPage(
                (long) page.number(WireNames.VERSION), page.optionalBoolean(WireNames.IS_COMPLETE), rows);
    }

    private static Row readRow(JsonFields row) throws InvalidSettingException {
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
        return new Row(endpoint, address, row.asMap());
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
