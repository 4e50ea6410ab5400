package portrelay.faulttest.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import portrelay.standin.Discovery;
import portrelay.standin.UpstreamFleet;

/** Publishes the endpoint lists of a round, one after the other, and remembers which upstreams each let drain. */
final class ListPublisher {

    /** The addresses of a list are those of the one before, moved on by this many upstreams. */
    private static final int ADDRESS_SHIFT = 7;

    /** The rows of one cell follow one another. */
    static final int ROWS_PER_CELL = 6;

    private static final int ZONES = 3;
    private static final double DRAINING_SHARE = 0.1;

    /** What a list said of the upstreams' addresses. */
    record PublishedList(long version, boolean[] isDraining) {}

    private final ScalePlan plan;
    private final UpstreamFleet fleet;
    /** One for each sidecar; all have the same versions. */
    private final List<Discovery> discoveries;

    private final SplittableRandom random;
    private final List<PublishedList> published = new ArrayList<>();
    private final int[] generationOfRow;
    private int shift;
    private String rows;

    ListPublisher(ScalePlan plan, UpstreamFleet fleet, List<Discovery> discoveries) {
        this.plan = plan;
        this.fleet = fleet;
        this.discoveries = discoveries;
        random = new SplittableRandom(plan.seed());
        generationOfRow = new int[plan.rows()];
        rows = format(new boolean[plan.rows()]);
    }

    /** Returns the rows of the current list in the protocol's format, without the enclosing brackets. */
    String rows() {
        return rows;
    }

    /** Publishes the first list. */
    void publishFirst() {
        publish(new boolean[plan.rows()]);
    }

    /** Publishes the next list, which differs from the one before as the plan says. */
    void publishNext() {
        boolean[] isDraining = new boolean[plan.rows()];
        switch (plan.listChange()) {
            case NONE -> {
                return;
            }
            case REPLACE_ALL -> {
                shift += ADDRESS_SHIFT;
                replace(0, 1);
            }
            case REPLACE_THIRD -> replace(published.size() % 3, 3);
            case MOVE_ALL -> shift += ADDRESS_SHIFT;
            case DRAIN_TENTH -> {
                for (int i = 0; i < isDraining.length; i++) {
                    isDraining[i] = random.nextDouble() < DRAINING_SHARE;
                }
            }
        }
        publish(isDraining);
    }

    List<PublishedList> published() {
        return published;
    }

    private void replace(int first, int step) {
        for (int i = first; i < generationOfRow.length; i += step) {
            generationOfRow[i]++;
        }
    }

    private void publish(boolean[] isDraining) {
        rows = format(isDraining);
        long version = 0;
        for (Discovery discovery : discoveries) {
            version = discovery.publish(rows, null);
        }
        published.add(new PublishedList(version, isDraining));
    }

    private String format(boolean[] isDraining) {
        StringBuilder text = new StringBuilder();
        String extraName = "x".repeat(plan.extraNameLength());
        for (int i = 0; i < generationOfRow.length; i++) {
            int address = (i + shift) % plan.rows();
            long bornMillis = plan.startsCold() && generationOfRow[i] > 0 ? System.currentTimeMillis() : 0;
            text.append(i > 0 ? "," : "")
                    .append("{\"host\":\"s-" + generationOfRow[i] + "-" + i + extraName + "\",\"dial\":\""
                            + fleet.address(address) + "\",\"site\":\"z" + i % ZONES + "\",\"class\":\"m" + i % ZONES
                            + "\",\"block\":" + i / ROWS_PER_CELL + ",\"health\":\""
                            + (isDraining[address] ? "DRAINING" : "SERVING") + "\",\"share\":1.0,\"born_ms\":"
                            + bornMillis + "}");
        }
        return text.toString();
    }
}
