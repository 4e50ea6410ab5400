package portrelay.admission;

import portrelay.settings.InvalidSettingException;
import portrelay.settings.JsonFields;

/**
 * Configuration of client connections, read from the section {@code door.connections} of a configuration file. Times
 * are milliseconds in the file and seconds here. "Under pressure" means while there are more connections than the
 * limit.
 *
 * @param firstByteTimeout time without a first byte after which a connection may be closed under pressure; 0.2 by
 *     default
 * @param sendTimeout maximum time in which a client sends a request; its connection is closed afterwards, and may be
 *     closed under pressure after half of it; 2.5 by default
 * @param readTimeout minimum of the time without progress after which a client has stopped reading its response; its
 *     connection is closed afterwards, and may be closed under pressure after half of it; 2.5 by default
 * @param idleTimeout idle time after which a connection may be closed under pressure; 2.1 by default
 * @param silentShare share of all connections, 0 to 1, that silent ones keep under pressure; 0.25 by default
 * @param sendingShare share of all connections, 0 to 1, that sending ones keep under pressure; 0.25 by default
 * @param minIdle number of idle connections that are never surplus; 16 by default
 * @param idlePerAwaiting maximum number of connections that are idle or await a response, per connection of the recent
 *     peak that awaited a response concurrently; 1.5 by default
 * @param minIdleTime idle time up to which a connection is never surplus; 0.1 by default
 */
public record ConnectionCapacityConfig(
        double firstByteTimeout,
        double sendTimeout,
        double readTimeout,
        double idleTimeout,
        double silentShare,
        double sendingShare,
        int minIdle,
        double idlePerAwaiting,
        double minIdleTime) {

    /** The default values of all fields. */
    public static final ConnectionCapacityConfig DEFAULTS =
            new ConnectionCapacityConfig(0.2, 2.5, 2.5, 2.1, 0.25, 0.25, 16, 1.5, 0.1);

    private static final double MILLIS_PER_SECOND = 1e3;

    /**
     * Reads the section {@code door.connections}.
     *
     * @throws InvalidSettingException for the first field that is unknown, of the wrong type or out of range
     */
    static ConnectionCapacityConfig read(JsonFields fields) throws InvalidSettingException {
        fields.rejectUnknown(
                "speak-within-ms",
                "send-within-ms",
                "read-within-ms",
                "idle-most-ms",
                "silent-share",
                "sending-share",
                "idle-least",
                "idle-per-asked",
                "idle-spared-ms");
        return new ConnectionCapacityConfig(
                seconds(fields, "speak-within-ms", DEFAULTS.firstByteTimeout, 1, 60_000),
                seconds(fields, "send-within-ms", DEFAULTS.sendTimeout, 1, 60_000),
                seconds(fields, "read-within-ms", DEFAULTS.readTimeout, 1, 60_000),
                seconds(fields, "idle-most-ms", DEFAULTS.idleTimeout, 1, 3_600_000),
                fields.range("silent-share", DEFAULTS.silentShare, 0, 1),
                fields.range("sending-share", DEFAULTS.sendingShare, 0, 1),
                fields.integer("idle-least", DEFAULTS.minIdle, 0, 1_000_000),
                fields.range("idle-per-asked", DEFAULTS.idlePerAwaiting, 0, 1_000_000),
                seconds(fields, "idle-spared-ms", DEFAULTS.minIdleTime, 0, 60_000));
    }

    private static double seconds(JsonFields fields, String name, double absent, double minMillis, double maxMillis)
            throws InvalidSettingException {
        return fields.range(name, absent * MILLIS_PER_SECOND, minMillis, maxMillis) / MILLIS_PER_SECOND;
    }
}
