package portrelay.gossip;

import java.util.ArrayList;
import java.util.List;

/**
 * What is in flight at one upstream as all that share it have said, ourselves among them. Promises that no
 * end that was lost on its way is waited for: what is older than it can be is forgotten.
 */
public final class Ledger {

    private record Entry(int sidecar, double at) { }

    private static final double LONGEST = 1.5;

    private final List<Entry> entries = new ArrayList<>();
    private double handledAt = Double.NEGATIVE_INFINITY;
    private int handled;

    public void begun(int sidecar, double now) {
        entries.add(new Entry(sidecar, now));
    }

    public void ended(int sidecar, Gossip.Word word, double now) {
        entries.stream().filter(each -> each.sidecar == sidecar).findFirst().ifPresent(entries::remove);
        handledAt = word == Gossip.Word.HANDLED ? now : handledAt;
        handled += word == Gossip.Word.HANDLED ? 1 : 0;
    }

    public int inFlight(double now) {
        while (!entries.isEmpty() && entries.get(0).at < now - LONGEST) {
            entries.remove(0);
        }
        return entries.size();
    }

    /** How many have been handled there, of everybody's. */
    public int handled() {
        return handled;
    }

    /** Seconds for which the oldest has been out with nothing handled since; 0 where something was. */
    public double silence(double now) {
        return inFlight(now) > 0 && handledAt < entries.get(0).at ? now - entries.get(0).at : 0;
    }
}
