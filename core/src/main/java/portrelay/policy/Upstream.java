package portrelay.policy;

import java.util.ArrayList;
import java.util.List;
import portrelay.gossip.Gossip;
import portrelay.model.Listed;
import portrelay.model.Samples;
import portrelay.model.UpstreamId;

/** What is known of one upstream. */
final class Upstream {

    static final int COPY_WINS = 5;
    static final double EVIDENCE = Math.log(1000);
    static final int PACE_SAMPLES = 16;
    static final int FEW = 4;
    private static final int LISTS = 3;
    private static final double LEAST_STEP = 0.02;
    private static final double SILENT = 0.3;
    static final double FIRST_LIMIT = 1.5;

    final UpstreamId id;
    Listed listed;
    boolean ready;
    boolean gone;
    double seenAt;
    int inFlight;
    int copyWins;
    double evidence;
    double passedUntil;
    boolean trialOut;
    double coldCredit;
    /** The largest weight listed: where weights move with load, what it is when nothing is in flight. */
    double size;
    double cores = 1;
    private double step = Double.POSITIVE_INFINITY;
    /** In hand when it was last probed, and what we sent since. */
    double reported;
    double reportedAt = Double.NEGATIVE_INFINITY;
    boolean probeOut;
    /** Executions of all that share it, ours too, the oldest first. */
    final List<Told> told = new ArrayList<>();
    double handledAt = Double.NEGATIVE_INFINITY;
    int handled;
    double answeredAt = Double.NEGATIVE_INFINITY;
    double limit = FIRST_LIMIT;
    double cutAt = Double.NEGATIVE_INFINITY;
    final Samples paces = new Samples(PACE_SAMPLES);
    private final Samples holds = new Samples(LISTS);
    /** Ours that are out on connections that had rested. */
    int restedOut;
    final Samples prompt = new Samples(FEW);

    Upstream(UpstreamId id) {
        this.id = id;
    }

    record Told(int sidecar, double at) { }

    /** The list lowers a weight by what is held a core: its smallest step tells how many cores there are. */
    void weighted(double scale, boolean live) {
        size = live ? Math.max(size, scale) : scale;
        double held = live ? size / scale - 1 : 0;
        holds.add(0, held);
        if (held > LEAST_STEP && held < step) {
            step = held;
            cores = Math.max(1, Math.rint(1 / step));
        }
    }

    /** Mean of what the last lists showed in hand. */
    double listedHeld() {
        return cores * holds.mean(Double.NEGATIVE_INFINITY, 0, 0);
    }

    void ended(int sidecar, Gossip.Word word, double now) {
        told.stream().filter(each -> each.sidecar == sidecar).findFirst().ifPresent(told::remove);
        handledAt = word == Gossip.Word.HANDLED ? now : handledAt;
        handled += word == Gossip.Word.HANDLED ? 1 : 0;
    }

    /** Guards against ends that were lost on their way: nothing is waited for so long. */
    void forgetBefore(double time) {
        while (!told.isEmpty() && told.get(0).at < time) {
            told.remove(0);
        }
    }

    /** Takes queries and answers none: its oldest is long out and nothing was handled since. */
    boolean silent(double now) {
        return !told.isEmpty() && now - told.get(0).at > SILENT && handledAt < told.get(0).at;
    }

    boolean passedOver() {
        return copyWins >= COPY_WINS || evidence >= EVIDENCE;
    }
}
