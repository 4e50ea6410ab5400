package portrelay.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import portrelay.model.Outcome;
import portrelay.model.Site;
import portrelay.model.UpstreamId;

/** What is harmless in one sidecar and harmful when all do it: many modules in virtual time. */
class FleetTest {

    private static final int SIDECARS = 14;
    private static final int UPSTREAMS = 60;
    private static final double RATE = 60;

    /**
     * Of 8,100 codes three were shared by two of these sixty: what was said of either was heard of one, and the
     * other one looked idle to all and got four times its share.
     */
    @Test
    void noUpstreamIsFilledByAllForWantOfACodeOfItsOwn() {
        Fleet fleet = new Fleet(1, SIDECARS, UPSTREAMS);
        fleet.listed();
        fleet.play(2, RATE);
        fleet.forgetCounts();
        fleet.play(4, RATE);
        int[] sent = fleet.sent();
        double mean = Arrays.stream(sent).average().orElseThrow();
        assertTrue(sent[sent.length - 1] < 3 * mean, Arrays.toString(sent));
        assertTrue(sent[0] > 0.3 * mean, Arrays.toString(sent));
        assertTrue(fleet.handled > 0.97 * fleet.asked(), fleet.handled + " of " + fleet.asked());
    }

    /** A small fleet's sidecars spent themselves on a datagram for each of the others; its own word may come back. */
    @Test
    void whereAllShareAllOneMessageGoesToAllAndItsSenderCountsItOnce() {
        Rig rig = new Rig(1, new Site(0, 2, null, Site.Weights.NOMINAL, Site.Reports.SILENT, true, false));
        rig.ready(2);
        rig.ask("a", Rig.REISSUABLE, 2);
        assertEquals(List.of(Rig.ALL), rig.told.stream().map(Rig.Told::to).toList());
        rig.decide.heard(rig.now, 0, rig.told.get(0).text());
        UpstreamId first = rig.last().at();
        rig.now += 0.05;
        rig.end(rig.last(), Outcome.HANDLED);
        boolean again = false;
        for (int i = 0; i < 20; i++) {
            rig.ask("b" + i, Rig.REISSUABLE, 2);
            again |= rig.last().at().equals(first);
            rig.now += 0.05;
            rig.end(rig.last(), Outcome.HANDLED);
        }
        assertTrue(again, "it still counts one there that has ended");
    }
}
