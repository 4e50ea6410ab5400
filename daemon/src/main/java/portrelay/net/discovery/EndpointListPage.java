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
 * One answer of discovery: the endpoint list, or what has changed on it.
 *
 * @param version grows with each change
 * @param isComplete whether it has every endpoint; else it has those that have changed
 * @param rows one for each endpoint, in the order in which they came
 */
public record EndpointListPage(long version, boolean isComplete, List<Row> rows) {

    /**
     * One endpoint.
     *
     * @param address null where the endpoint is gone
     * @param tree the row as it came
     */
    record Row(Endpoint endpoint, InetSocketAddress address, Object tree) {}

    /**
     * Reads a list in discovery's form.
     *
     * @throws InvalidSettingException names the first field that is missing or wrong
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
        Endpoint.Health health = health(row);
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

    private static Endpoint.Health health(JsonFields row) throws InvalidSettingException {
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
