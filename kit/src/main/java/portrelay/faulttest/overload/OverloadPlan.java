package portrelay.faulttest.overload;

import java.util.SplittableRandom;

/**
 * What happens in one round, drawn from its seed.
 *
 * @param seed the seed
 * @param memoryMb the memory limit of the sidecar
 * @param sockets its limit of descriptors
 * @param waitMillis how long clients wait for a response
 * @param flood the requests that some clients send at full speed
 * @param floodConnections the number of these clients
 * @param crowd what many clients do at once
 * @param crowdSize the number of these clients
 * @param slowClients the number of clients whose responses are written slowly
 * @param leavingClients the number of clients that leave and ask again with the same id
 * @param replacesUpstreams whether upstreams are replaced by others at their addresses
 * @param isReplaced whether the process is replaced: a successor starts, SIGTERM, and SIGKILL at its earliest time
 */
record OverloadPlan(
        long seed,
        int memoryMb,
        int sockets,
        int waitMillis,
        Flood flood,
        int floodConnections,
        Crowd crowd,
        int crowdSize,
        int slowClients,
        int leavingClients,
        boolean replacesUpstreams,
        boolean isReplaced) {

    /** Requests that are sent at full speed. */
    enum Flood {
        NONE,
        READINESS,
        PADDED_READINESS,
        UNKNOWN_CLASS,
        UNKNOWN_TENANT,
        NO_ID
    }

    /** What each client of a crowd does. */
    enum Crowd {
        NONE,
        STOPS_IN_BODY,
        STOPS_IN_CHUNK,
        STOPS_IN_HEAD,
        SENDS_AHEAD,
        UPLOADS_SLOWLY,
        READS_LATE
    }

    private static final int MAX_FLOOD_CONNECTIONS = 6;
    private static final int MIN_CROWD = 100;
    private static final int MAX_SLOW_CLIENTS = 8;
    private static final int MAX_LEAVING_CLIENTS = 4;
    private static final int MIN_WAIT_MILLIS = 400;
    private static final int MAX_WAIT_MILLIS = 900;
    private static final int[] SOCKETS = {512, 1024};
    private static final int[] MEMORY_MB = {96, 128};
    /** The memory for two processes: two JVMs don't fit into less. */
    private static final int MEMORY_MB_OF_TWO = 192;

    static OverloadPlan draw(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        boolean isReplaced = random.nextInt(3) == 0;
        int sockets = SOCKETS[random.nextInt(SOCKETS.length)];
        Flood flood = random.nextBoolean() ? Flood.NONE : Flood.values()[1 + random.nextInt(Flood.values().length - 1)];
        Crowd crowd = random.nextBoolean() ? Crowd.NONE : Crowd.values()[1 + random.nextInt(Crowd.values().length - 1)];
        return new OverloadPlan(
                seed,
                isReplaced ? MEMORY_MB_OF_TWO : MEMORY_MB[random.nextInt(MEMORY_MB.length)],
                sockets,
                MIN_WAIT_MILLIS + random.nextInt(MAX_WAIT_MILLIS - MIN_WAIT_MILLIS),
                flood,
                1 + random.nextInt(MAX_FLOOD_CONNECTIONS),
                crowd,
                MIN_CROWD + random.nextInt(sockets * 3 / 4 - MIN_CROWD),
                random.nextInt(1 + MAX_SLOW_CLIENTS),
                random.nextInt(1 + MAX_LEAVING_CLIENTS),
                random.nextInt(3) == 0,
                isReplaced);
    }
}
