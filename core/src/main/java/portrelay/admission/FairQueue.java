package portrelay.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.ToDoubleFunction;
import portrelay.model.RequestId;

/**
 * A queue with worst-case fair weighted fair queueing (Bennett and Zhang, WF2Q, 1996). The reference is a fluid server
 * (generalized processor sharing) that divides each unit of work by weight among all flows that have work left. The
 * admitted work of a flow never differs from that of the fluid server by more than the work of one request. Virtual
 * time advances with admitted work only; no clock is used.
 *
 * <p>The numbers of requests, bytes and flows are bounded. Each call takes time logarithmic in the number of flows.
 */
final class FairQueue {

    /** Number of queues that the flows beyond the bound share, by hash of their id. */
    static final int SHARED_FLOWS = 16;

    private static final class Flow {
        final FlowId id;
        final double weight;
        final long order;
        /** Queued requests by position; those that honour a Retry-After precede all others. */
        final TreeMap<Long, Entry> queued = new TreeMap<>();

        double queuedWork;
        /** Virtual finish time of the last admitted request. */
        double admittedFinish = Double.NEGATIVE_INFINITY;
        /** Virtual start time of the first queued request. */
        double start;
        /** Virtual finish time of the first queued request. */
        double finish;
        /** Virtual time at which the fluid server has served all work of the flow. */
        double fluidFinish = Double.NEGATIVE_INFINITY;

        boolean inFluid;

        Flow(FlowId id, double weight, long order) {
            this.id = id;
            this.weight = weight;
            this.order = order;
        }
    }

    private record Entry(AdmissionRequest request, Flow flow, double arrivedAt, long position) {}

    private final int maxRequests;
    private final long maxBytes;
    private final int maxFlows;
    private final Map<FlowId, Flow> flows = new HashMap<>();
    private final Map<RequestId, Entry> entries = new HashMap<>();
    /** Flows whose first queued request the fluid server has started, by its virtual finish time. */
    private final TreeSet<Flow> eligible = new TreeSet<>(comparingBy(flow -> flow.finish));
    /** The other flows with queued requests, by the first one's virtual start time. */
    private final TreeSet<Flow> ineligible = new TreeSet<>(comparingBy(flow -> flow.start));
    /** Flows with work left in the fluid server, by their virtual finish time there. */
    private final TreeSet<Flow> inFluid = new TreeSet<>(comparingBy(flow -> flow.fluidFinish));
    /** Flows with queued requests, by queued work divided by weight. */
    private final TreeSet<Flow> byBacklog = new TreeSet<>(comparingBy(flow -> flow.queuedWork / flow.weight));

    private double virtualTime;
    /** Sum of the weights of the flows in the fluid server. */
    private double fluidWeight;
    /** Sum of the weights of the flows with queued requests. */
    private double queuedWeight;

    private long bytes;
    /** Next position of a request, or tie-breaking order of a flow; ascending in order of arrival. */
    private long nextOrder;

    FairQueue(int maxRequests, long maxBytes, int maxFlows) {
        this.maxRequests = maxRequests;
        this.maxBytes = maxBytes;
        this.maxFlows = maxFlows;
    }

    int size() {
        return entries.size();
    }

    long bytes() {
        return bytes;
    }

    int flowCount() {
        return flows.size();
    }

    /** Returns the queued work of the flow that a request with this flow id would join. */
    double queuedWorkOf(FlowId id) {
        Flow flow = flows.get(ownOrSharedId(id));
        return flow == null ? 0 : flow.queuedWork;
    }

    /**
     * Returns the flow's share, 0 to 1, of admitted work while it and all flows with queued requests stay backlogged.
     */
    double shareOf(FlowId id, double weight) {
        Flow flow = flows.get(ownOrSharedId(id));
        double own = flow == null ? weight : flow.weight;
        double others = flow == null || flow.queued.isEmpty() ? queuedWeight : queuedWeight - own;
        return own / (Math.max(0, others) + own);
    }

    /**
     * Queues a request at the end or at the front of its flow. Returns the requests that were evicted to keep the
     * bounds, possibly the new one. Each was the last request of the flow with the largest backlog relative to its
     * weight.
     */
    List<AdmissionRequest> add(AdmissionRequest request, boolean atFront) {
        FlowId id = ownOrSharedId(request.flow());
        Flow flow = flows.computeIfAbsent(id, each -> new Flow(each, request.weight(), nextOrder++));
        boolean beforeOthers = atFront && !flow.queued.isEmpty();
        Entry entry = beforeOthers
                ? new Entry(request, flow, flow.queued.firstEntry().getValue().arrivedAt, flow.queued.firstKey() - 1)
                : new Entry(request, flow, virtualTime, nextOrder++);
        update(flow, () -> {
            flow.queued.put(entry.position, entry);
            flow.queuedWork += request.work();
            flow.fluidFinish = Math.max(flow.fluidFinish, virtualTime) + request.work() / flow.weight;
        });
        entries.put(request.id(), entry);
        bytes += request.bytes();
        List<AdmissionRequest> evicted = new ArrayList<>();
        while (entries.size() > maxRequests || bytes > maxBytes) {
            Entry last = byBacklog.last().queued.lastEntry().getValue();
            evicted.add(remove(last.request.id()));
        }
        return evicted;
    }

    /** Removes a request and its work, as if it had never been queued. Returns null if it is not queued. */
    AdmissionRequest remove(RequestId id) {
        Entry entry = entries.remove(id);
        if (entry == null) {
            return null;
        }
        Flow flow = entry.flow;
        bytes -= entry.request.bytes();
        update(flow, () -> {
            flow.queued.remove(entry.position);
            subtractWork(flow, entry.request);
            flow.fluidFinish -= entry.request.work() / flow.weight;
        });
        removeIfIdle(flow);
        resetIfEmpty();
        return entry.request;
    }

    /** Removes the request to admit next and advances virtual time by its work. Returns null if none is queued. */
    AdmissionRequest next() {
        if (entries.isEmpty()) {
            return null;
        }
        // At least one flow is always eligible, except for rounding errors.
        Flow flow = eligible.isEmpty() ? ineligible.first() : eligible.first();
        Entry entry = flow.queued.firstEntry().getValue();
        AdmissionRequest request = entry.request;
        entries.remove(request.id());
        bytes -= request.bytes();
        update(flow, () -> {
            flow.queued.remove(entry.position);
            subtractWork(flow, request);
            flow.admittedFinish = flow.finish;
        });
        advanceFluid(request.work());
        removeIfIdle(flow);
        resetIfEmpty();
        return request;
    }

    private static Comparator<Flow> comparingBy(ToDoubleFunction<Flow> key) {
        return Comparator.comparingDouble(key).thenComparingLong(flow -> flow.order);
    }

    private static void subtractWork(Flow flow, AdmissionRequest request) {
        flow.queuedWork = flow.queued.isEmpty() ? 0 : flow.queuedWork - request.work();
    }

    /**
     * Applies a change to a flow's sort keys; the flow is removed from the ordered sets before and added again after.
     */
    private void update(Flow flow, Runnable change) {
        eligible.remove(flow);
        ineligible.remove(flow);
        if (byBacklog.remove(flow)) {
            queuedWeight = byBacklog.isEmpty() ? 0 : queuedWeight - flow.weight;
        }
        if (flow.inFluid) {
            inFluid.remove(flow);
            fluidWeight = inFluid.isEmpty() ? 0 : fluidWeight - flow.weight;
            flow.inFluid = false;
        }
        change.run();
        if (flow.queued.isEmpty()) {
            flow.fluidFinish = flow.admittedFinish;
        } else {
            Entry first = flow.queued.firstEntry().getValue();
            flow.start = Math.max(flow.admittedFinish, first.arrivedAt);
            flow.finish = flow.start + first.request.work() / flow.weight;
            (flow.start <= virtualTime ? eligible : ineligible).add(flow);
            byBacklog.add(flow);
            queuedWeight += flow.weight;
        }
        if (flow.fluidFinish > virtualTime) {
            flow.inFluid = true;
            inFluid.add(flow);
            fluidWeight += flow.weight;
        }
    }

    /** Advances the fluid server by the work, divided among its flows by weight; removes each flow that is finished. */
    private void advanceFluid(double work) {
        double left = work;
        while (left > 0 && !inFluid.isEmpty()) {
            Flow first = inFluid.first();
            double untilFirstFinishes = (first.fluidFinish - virtualTime) * fluidWeight;
            if (untilFirstFinishes > left) {
                virtualTime += left / fluidWeight;
                left = 0;
            } else {
                virtualTime = first.fluidFinish;
                left -= untilFirstFinishes;
                inFluid.pollFirst();
                first.inFluid = false;
                fluidWeight = inFluid.isEmpty() ? 0 : fluidWeight - first.weight;
                removeIfIdle(first);
            }
        }
        while (!ineligible.isEmpty() && ineligible.first().start <= virtualTime) {
            eligible.add(ineligible.pollFirst());
        }
    }

    private void removeIfIdle(Flow flow) {
        if (flow.queued.isEmpty() && !flow.inFluid) {
            flows.remove(flow.id);
        }
    }

    /** Resets the fluid server if no request is queued: it is finished then too, and rounding errors are discarded. */
    private void resetIfEmpty() {
        if (entries.isEmpty()) {
            flows.clear();
            inFluid.clear();
            fluidWeight = 0;
            virtualTime = 0;
        }
    }

    private FlowId ownOrSharedId(FlowId id) {
        if (flows.containsKey(id) || flows.size() < maxFlows) {
            return id;
        }
        return new FlowId("others " + Math.floorMod(id.value().hashCode(), SHARED_FLOWS));
    }
}
