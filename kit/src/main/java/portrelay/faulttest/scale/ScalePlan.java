package portrelay.faulttest.scale;

import java.util.SplittableRandom;

/**
 * What happens in one round.
 *
 * @param seed the seed of all random choices of the round
 * @param rows the number of rows of each endpoint list
 * @param sidecars the number of sidecars; each has a successor
 * @param memoryMb the memory limit of each process, from which the launcher derives the heap
 * @param clients the number of clients of each sidecar
 * @param runSeconds the time from when the clients start to the SIGTERM of the successors
 * @param listChange how each list differs from the one before
 * @param listIntervalSeconds the time between two lists
 * @param extraNameLength the number of characters by which the names of upstreams are longer than usual
 * @param troubledShare the share of the upstreams' exchanges that go wrong
 * @param refusingShare the share of the upstreams that reset each connection
 * @param isListConfigured whether the configuration has the endpoint list
 * @param startsCold whether each new row says that its upstream has just started
 * @param hasPeers whether the sidecars exchange messages
 * @param hangups the number of SIGHUP in a row before the hand-over
 * @param heldShare the probability with which a process is held once in each interval of samples
 * @param refusedCallsShare the share of the calls to discovery that fail after the start of the clients
 * @param leavingShare the share of the requests whose client leaves before the answer, some before the whole request is
 *     written; as many requests are written in pieces
 */
public record ScalePlan(
        long seed,
        int rows,
        int sidecars,
        int memoryMb,
        int clients,
        double runSeconds,
        ListChange listChange,
        double listIntervalSeconds,
        int extraNameLength,
        double troubledShare,
        double refusingShare,
        boolean isListConfigured,
        boolean startsCold,
        boolean hasPeers,
        int hangups,
        double heldShare,
        double refusedCallsShare,
        double leavingShare) {

    /** How an endpoint list differs from the one before. */
    public enum ListChange {
        /** It is the same list; no other one is published. */
        NONE,
        /** All rows have new ids, at addresses that others had before. */
        REPLACE_ALL,
        /** A third of the rows have new ids. */
        REPLACE_THIRD,
        /** All ids stay, at addresses that others had before. */
        MOVE_ALL,
        /** A tenth of the rows drains. */
        DRAIN_TENTH
    }

    /** Returns a copy with another memory limit. */
    ScalePlan withMemoryMb(int otherMemoryMb) {
        return new ScalePlan(
                seed,
                rows,
                sidecars,
                otherMemoryMb,
                clients,
                runSeconds,
                listChange,
                listIntervalSeconds,
                extraNameLength,
                troubledShare,
                refusingShare,
                isListConfigured,
                startsCold,
                hasPeers,
                hangups,
                heldShare,
                refusedCallsShare,
                leavingShare);
    }

    /** Whether an upstream's address belongs to the same cell in every list. */
    boolean hasFixedCells() {
        return listChange != ListChange.REPLACE_ALL && listChange != ListChange.MOVE_ALL;
    }

    /** The time from SIGTERM to SIGKILL: the longest deadline and 0.7 seconds. */
    static final double KILL_DELAY_SECONDS = ScaleClient.LONG_DEADLINE_SECONDS + 0.7;

    private static final int[] MANY_ROWS = {200, 800, 3200, 6400};
    private static final int MAX_FEW_ROWS = 60;
    /** The share of the rounds with few upstreams and many sidecars. */
    private static final double FEW_ROWS_SHARE = 0.4;

    private static final int MAX_SIDECARS = 12;
    private static final int MAX_SIDECARS_WITH_MANY_ROWS = 4;
    private static final int[] MEMORY_MB = {96, 128, 192};
    private static final int CROWD = 300;
    private static final double CROWD_SHARE = 0.15;
    private static final int MAX_LONG_NAME = 200;
    private static final double MAX_LEAVING_SHARE = 0.3;

    /** Returns the plan that the seed determines. */
    public static ScalePlan draw(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        boolean hasFewRows = random.nextDouble() < FEW_ROWS_SHARE;
        int rows = hasFewRows ? 4 + random.nextInt(MAX_FEW_ROWS) : MANY_ROWS[random.nextInt(MANY_ROWS.length)];
        int sidecars = 1 + random.nextInt(hasFewRows ? MAX_SIDECARS : MAX_SIDECARS_WITH_MANY_ROWS);
        boolean isCrowd = random.nextDouble() < CROWD_SHARE;
        int clients = (isCrowd ? CROWD : 20 + random.nextInt(60)) / sidecars + 1;
        ListChange[] changes = ListChange.values();
        return new ScalePlan(
                seed,
                rows,
                sidecars,
                MEMORY_MB[random.nextInt(MEMORY_MB.length)],
                clients,
                8,
                changes[random.nextInt(changes.length)],
                0.7 + 1.8 * random.nextDouble(),
                random.nextInt(3) == 0 ? random.nextInt(MAX_LONG_NAME) : 0,
                random.nextBoolean() ? 0.4 * random.nextDouble() : 0,
                random.nextInt(4) == 0 ? random.nextDouble() : 0,
                random.nextBoolean(),
                random.nextInt(4) == 0,
                random.nextBoolean(),
                random.nextInt(4),
                random.nextBoolean() ? 0.5 : 0,
                random.nextInt(3) == 0 ? random.nextDouble() : 0,
                random.nextBoolean() ? MAX_LEAVING_SHARE * random.nextDouble() : 0);
    }
}
