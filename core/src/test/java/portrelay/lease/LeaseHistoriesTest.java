package portrelay.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Runs random histories of five and seven voters, all of them candidates, in virtual time: messages are lost,
 * duplicated and late, peers are partitioned, stopped and restarted, and clocks drift. A failure names its seed, with
 * which the same history can be replayed.
 */
class LeaseHistoriesTest {

    private static final LeaseTerms TERMS = new LeaseTerms(2, 0.05, 0.4, 0.2);
    private static final double FAULTS_END_AT = 20;
    /** Time for the silence after a restart, the rest of a lost holder's lease, and some rounds. */
    private static final double HOLDER_WITHIN_SECONDS = 10;

    private static final double MAX_LATE_DELAY_SECONDS = 5;
    private static final double MAX_DELAY_SECONDS = 0.02;
    private static final int SEEDS = 10_000;

    private record Event(double time, long order, Runnable action) {}

    private static final class Peer {
        Replica replica;
        double rate;
        double pausedUntil;
        boolean isPartitioned;
        /** The number of the timer that was set last; older timers have no effect. */
        long timer;
    }

    /** One history; violation is null as long as no violation was found. */
    private static final class History {
        final SplittableRandom random;
        final List<Peer> peers = new ArrayList<>();
        final PriorityQueue<Event> events = new PriorityQueue<>(
                (a, b) -> a.time != b.time ? Double.compare(a.time, b.time) : Long.compare(a.order, b.order));
        final VoterSet voters;
        double now;
        long order;
        long highestToken;
        double withoutHolderSince;
        double longestWithoutHolder;
        int holdersSeen;
        String violation;

        History(long seed, int count) {
            random = new SplittableRandom(seed);
            voters = new VoterSet(IntStream.range(0, count).boxed().toList());
            for (int i = 0; i < count; i++) {
                Peer peer = new Peer();
                peer.rate = 1 + TERMS.drift() * (2 * random.nextDouble() - 1);
                peers.add(peer);
                start(i, 0);
            }
            for (double time = 0.5; time < FAULTS_END_AT; time += 0.2 + random.nextDouble()) {
                schedule(time, this::injectFault);
            }
            schedule(FAULTS_END_AT, this::endFaults);
        }

        void schedule(double time, Runnable action) {
            events.add(new Event(time, order++, action));
        }

        double clock(int peer) {
            return now * peers.get(peer).rate;
        }

        void start(int peer, long incarnation) {
            Holder self = new Holder(peer, incarnation);
            peers.get(peer).replica = Replica.started(self, voters, TERMS, clock(peer), random.nextDouble());
            setTimer(peer);
        }

        void setTimer(int index) {
            Peer peer = peers.get(index);
            long timer = ++peer.timer;
            double due = Math.max(now, peer.replica.nextTimerAt() / peer.rate + 1e-6);
            schedule(due, () -> {
                if (timer == peer.timer) {
                    runUnlessStopped(
                            index,
                            () -> step(
                                    index,
                                    peer.replica.onTimer(clock(index), (long) (now * 1e3), random.nextDouble())));
                }
            });
        }

        /** Runs an action of a peer, after the pause if the peer is stopped. */
        void runUnlessStopped(int index, Runnable action) {
            Peer peer = peers.get(index);
            if (now < peer.pausedUntil) {
                schedule(peer.pausedUntil, () -> runUnlessStopped(index, action));
            } else {
                action.run();
            }
        }

        void step(int index, Replica.Step step) {
            peers.get(index).replica = step.next();
            step.out().forEach(out -> send(index, out));
            setTimer(index);
        }

        void send(int from, Replica.Outgoing out) {
            boolean hasNoFaults = now >= FAULTS_END_AT;
            int copies = hasNoFaults ? 1 : random.nextInt(10) < 3 ? 0 : random.nextInt(10) == 0 ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                boolean isLate = !hasNoFaults && random.nextInt(10) == 0;
                double delay = random.nextDouble() * (isLate ? MAX_LATE_DELAY_SECONDS : MAX_DELAY_SECONDS);
                schedule(now + delay, () -> receive(from, out));
            }
        }

        void receive(int from, Replica.Outgoing out) {
            if (peers.get(from).isPartitioned || peers.get(out.to()).isPartitioned) {
                return;
            }
            runUnlessStopped(out.to(), () -> {
                Replica to = peers.get(out.to()).replica;
                step(out.to(), to.onMessage(from, out.message(), clock(out.to()), random.nextDouble()));
            });
        }

        void injectFault() {
            int index = random.nextInt(peers.size());
            Peer peer = peers.get(index);
            switch (random.nextInt(5)) {
                case 0 -> start(index, peer.replica.self().incarnation() + 1);
                case 1 -> peer.pausedUntil = now + 4 * random.nextDouble();
                case 2 -> peer.isPartitioned = true;
                case 3 -> peer.isPartitioned = false;
                default ->
                    runUnlessStopped(index, () -> step(index, peer.replica.release(clock(index), random.nextDouble())));
            }
        }

        void endFaults() {
            peers.forEach(each -> {
                each.isPartitioned = false;
                each.pausedUntil = now;
            });
        }

        void run() {
            while (violation == null
                    && !events.isEmpty()
                    && events.peek().time < FAULTS_END_AT + HOLDER_WITHIN_SECONDS) {
                Event event = events.poll();
                check(event.time);
                now = event.time;
                event.action.run();
                check(now);
            }
        }

        /**
         * Checks the holders at a time. A stopped peer that holds the lease counts, as it may act when it continues.
         */
        void check(double time) {
            int holders = 0;
            for (Peer peer : peers) {
                if (!peer.replica.holds(time * peer.rate)) {
                    continue;
                }
                holders++;
                long token = peer.replica.token();
                violation = token < highestToken ? "token " + token + " after " + highestToken : violation;
                holdersSeen += token > highestToken ? 1 : 0;
                highestToken = Math.max(highestToken, token);
            }
            violation = holders > 1 ? holders + " holders at " + time : violation;
            longestWithoutHolder =
                    holders == 0 ? Math.max(longestWithoutHolder, time - withoutHolderSince) : longestWithoutHolder;
            withoutHolderSince = holders == 0 ? withoutHolderSince : time;
        }
    }

    @Test
    void randomHistoriesNeverHaveTwoHoldersAndHaveOneSoonAfterTheFaults() {
        long holders = 0;
        double longestWithoutHolder = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            History history = new History(seed, seed % 2 == 0 ? 5 : 7);
            history.run();
            assertEquals(null, history.violation, "seed " + seed);
            double withoutHolder = FAULTS_END_AT + HOLDER_WITHIN_SECONDS - history.withoutHolderSince;
            assertTrue(
                    withoutHolder < 1,
                    "seed " + seed + ": no holder for the last " + withoutHolder + " s of the history");
            holders += history.holdersSeen;
            longestWithoutHolder = Math.max(longestWithoutHolder, history.longestWithoutHolder);
        }
        System.out.println("lease, " + SEEDS + " histories: " + holders + " holders, longest without one "
                + Math.round(longestWithoutHolder * 10) / 10.0 + " s, including the 20 s of faults");
        assertTrue(2 * holders > 3L * SEEDS, "too few holders for the histories to be a meaningful test: " + holders);
    }
}
