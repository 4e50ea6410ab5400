package portrelay.sources;

import java.util.SplittableRandom;
import portrelay.model.Effects;
import portrelay.model.ListRule;

/** The list is one service for all sidecars: those that failed together must not come back together. */
public final class ListWatch {

    private static final double SHORTEST_BACKOFF = 0.5;

    private final Effects out;
    private final SplittableRandom chance;
    private final boolean onRequest;
    private final double longestBackoff;
    private double askAt = Double.POSITIVE_INFINITY;
    private int failures;

    public ListWatch(Effects out, SplittableRandom chance, ListRule rule) {
        this.out = out;
        this.chance = chance;
        this.onRequest = rule.onRequest();
        this.longestBackoff = Math.max(SHORTEST_BACKOFF, rule.askWithin() / 4);
    }

    /** When to ask again; infinite where nothing failed. */
    public double askAt() {
        return askAt;
    }

    public void ask() {
        if (onRequest) {
            askAt = Double.POSITIVE_INFINITY;
            out.watchList();
        }
    }

    public void failed(double now) {
        double backoff = Math.min(longestBackoff, SHORTEST_BACKOFF * (1 << Math.min(failures, 8)));
        failures++;
        askAt = now + backoff * (0.5 + chance.nextDouble() / 2);
    }

    public void answered() {
        failures = 0;
        askAt = Double.POSITIVE_INFINITY;
    }
}
