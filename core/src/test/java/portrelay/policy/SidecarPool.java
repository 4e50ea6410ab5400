package portrelay.policy;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import portrelay.model.Outcome;
import portrelay.model.UpstreamId;

/** Ten sidecars that share their load, in two zones; their messages arrive when {@link #deliverMessages} is called. */
final class SidecarPool {
    final Map<Integer, LoadBalancerHarness> sidecars = new HashMap<>();
    /** How many of the messages of each sidecar have been delivered. */
    final Map<Integer, Integer> deliveredCounts = new HashMap<>();

    /** Creates the sidecars, with the given number of them in the first zone; each zone has six upstreams. */
    SidecarPool(int inFirstZone) {
        for (int i = 0; i < 10; i++) {
            sidecars.put(i, new LoadBalancerHarness(i, LoadBalancerHarness.sharingLoad(i, i < inFirstZone ? 0 : 1)));
        }
        sidecars.values().forEach(each -> each.listReady(12));
        for (int i = 0; i < 30; i++) {
            deliverMessages();
            sidecars.values().forEach(each -> each.advance(0.01));
        }
    }

    /** Delivers all messages without delay or loss, also those that the sidecars send on receiving others. */
    void deliverMessages() {
        for (int newMessages = 1; newMessages > 0; ) {
            newMessages = 0;
            for (Map.Entry<Integer, LoadBalancerHarness> sender : sidecars.entrySet()) {
                List<LoadBalancerHarness.Message> messages = sender.getValue().messages;
                int delivered = deliveredCounts.merge(sender.getKey(), 0, Integer::sum);
                deliveredCounts.put(sender.getKey(), messages.size());
                newMessages += messages.size() - delivered;
                for (LoadBalancerHarness.Message message : List.copyOf(messages.subList(delivered, messages.size()))) {
                    sidecars.forEach((to, harness) -> {
                        if (!to.equals(sender.getKey())
                                && (message.to() == LoadBalancerHarness.ALL_SIDECARS || message.to() == to)) {
                            harness.loadBalancer.peerMessageReceived(harness.now, sender.getKey(), message.text());
                        }
                    });
                }
            }
        }
    }

    /** Serves forty requests, and returns the upstreams to which their attempts were sent. */
    static Set<UpstreamId> usedBy(LoadBalancerHarness harness) {
        Set<UpstreamId> used = new HashSet<>();
        for (int i = 0; i < 40; i++) {
            harness.requestArrives("u" + i, LoadBalancerHarness.UNSAFE, 2);
            if (!harness.sent.isEmpty()) {
                used.add(harness.lastSent().upstream());
                harness.attemptEnds(harness.lastSent(), Outcome.SERVED);
            }
        }
        return used;
    }
}
