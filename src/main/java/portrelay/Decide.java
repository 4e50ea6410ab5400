package portrelay;

// The decisions of one sidecar, all of them. A front makes one Decide for each instance, hands it the
// settings, and calls start, list, arrival, outcome, begun, left and alarm in the order in which things
// happen, each with the time in seconds. Decide answers through portrelay.model.Effects, which the front
// implements; the types that pass between them stand in portrelay.model. A call never waits and instances
// share nothing. docs/design.md tells what is kept of the design, what is changed and when each change acts.

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import portrelay.model.Asked;
import portrelay.model.ColdRule;
import portrelay.model.Effects;
import portrelay.model.ListNews;
import portrelay.model.ListRule;
import portrelay.model.Listed;
import portrelay.model.LoadReport;
import portrelay.model.Offering;
import portrelay.model.Outcome;
import portrelay.model.Permits;
import portrelay.model.QueryId;
import portrelay.model.ShapeId;
import portrelay.model.Tenant;
import portrelay.model.TenantId;
import portrelay.model.UpstreamId;

public final class Decide {

    // ---- The table --------------------------------------------------------------------------------------

    /** HELD has nothing out and waits for a place; BARE has nothing out after one that did not help. */
    enum State { FRESH, HELD, ALONE, RACING, BARE, CLOSED }

    enum Input { ARRIVED, NOWHERE, TURN, WAITED, PLACED, COPY_DUE, KEPT, ENDED, WON, LEFT }

    /** What a row does; the input it returns, if any, is read from the row's next state at once. */
    private interface Effect {
        Input on(Decide d, Query q);
    }

    private record Row(State state, Input input, State next, Effect effect) { }

    private static final Effect NOTHING = (d, q) -> null;

    private static final List<Row> TABLE = List.of(
            new Row(State.FRESH, Input.ARRIVED, State.ALONE, Decide::sendFirst),
            new Row(State.ALONE, Input.NOWHERE, State.HELD, Decide::hold),
            new Row(State.ALONE, Input.COPY_DUE, State.RACING, Decide::sendCopy),
            new Row(State.ALONE, Input.ENDED, State.BARE, Decide::sendFurther),
            new Row(State.ALONE, Input.WON, State.CLOSED, Decide::callOffRest),
            new Row(State.ALONE, Input.LEFT, State.CLOSED, Decide::callOffRest),
            new Row(State.RACING, Input.KEPT, State.ALONE, NOTHING),
            new Row(State.RACING, Input.ENDED, State.ALONE, NOTHING),
            new Row(State.RACING, Input.WON, State.CLOSED, Decide::callOffRest),
            new Row(State.RACING, Input.LEFT, State.CLOSED, Decide::callOffRest),
            new Row(State.BARE, Input.PLACED, State.ALONE, NOTHING),
            new Row(State.BARE, Input.NOWHERE, State.CLOSED, Decide::giveUp),
            new Row(State.HELD, Input.TURN, State.ALONE, Decide::sendFirst),
            new Row(State.HELD, Input.WAITED, State.CLOSED, Decide::giveUp),
            new Row(State.HELD, Input.LEFT, State.CLOSED, NOTHING));

    private static final Row[][] ROWS = new Row[State.values().length][Input.values().length];

    static {
        for (Row row : TABLE) {
            ROWS[row.state.ordinal()][row.input.ordinal()] = row;
        }
    }

    /** An input that a state has no row for changes nothing: timers can't be taken back and come late. */
    private void step(Query q, Input input) {
        while (input != null) {
            Row row = ROWS[q.state.ordinal()][input.ordinal()];
            if (row == null) {
                return;
            }
            q.state = row.next;
            input = row.effect.on(this, q);
        }
    }

    // ---- What is held -----------------------------------------------------------------------------------

    private static final class Execution {
        final int index;
        final Upstream at;
        final double sentAt;
        final boolean trial;
        Outcome outcome;

        Execution(int index, Upstream at, double sentAt, boolean trial) {
            this.index = index;
            this.at = at;
            this.sentAt = sentAt;
            this.trial = trial;
        }

        /** Out and unknown counts as run: only an outcome can prove the contrary. */
        boolean mayHaveRun() {
            return outcome == null || !outcome.neverRan;
        }
    }

    private static final class Query {
        final Asked asked;
        final Offering offering;
        final double arrivedAt;
        final List<Execution> executions = new ArrayList<>(2);
        State state = State.FRESH;
        boolean copied;
        int keyLot;
        boolean waiting;
        Execution winner;

        Query(Asked asked, Offering offering, double arrivedAt) {
            this.asked = asked;
            this.offering = offering;
            this.arrivedAt = arrivedAt;
        }

        Execution firstThatMayHaveRun() {
            return executions.stream().filter(Execution::mayHaveRun).findFirst().orElse(null);
        }

        boolean anyOut() {
            return executions.stream().anyMatch(e -> e.outcome == null);
        }

        boolean triedAt(Upstream u) {
            return executions.stream().anyMatch(e -> e.at == u);
        }
    }

    private static final class Upstream {
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
        double limit = FIRST_LIMIT;
        double cutAt = Double.NEGATIVE_INFINITY;
        final Samples paces = new Samples(PACE_SAMPLES);
        final Samples prompt = new Samples(FEW);

        Upstream(UpstreamId id) {
            this.id = id;
        }

        boolean passedOver() {
            return copyWins >= COPY_WINS || evidence >= EVIDENCE;
        }
    }

    /** The last few samples of one thing measured, with their times. */
    private static final class Samples {
        private final double[] values;
        private final double[] times;
        private int count;

        Samples(int most) {
            values = new double[most];
            times = new double[most];
        }

        void add(double time, double value) {
            values[count % values.length] = value;
            times[count % values.length] = time;
            count++;
        }

        /** Mean time between the last samples up to now; 0 while there are none. */
        double spacing(double now) {
            int kept = Math.min(count, values.length);
            return kept == 0 ? 0 : (now - times[(count - kept) % values.length]) / kept;
        }

        boolean allAbove(double value) {
            return count >= values.length && Arrays.stream(values).allMatch(each -> each > value);
        }

        /** How large a part of the samples had this value; one of them proves nothing yet. */
        double share(double value) {
            int same = -1;
            for (int i = 0; i < Math.min(count, values.length); i++) {
                same += values[i] == value ? 1 : 0;
            }
            return Math.max(0, same) / (double) values.length;
        }

        /** Mean of what came after the time, as if prior samples of the given value had come before. */
        double mean(double after, double prior, double value) {
            double sum = prior * value;
            double weight = prior;
            for (int i = 0; i < Math.min(count, values.length); i++) {
                if (times[i] >= after) {
                    sum += values[i];
                    weight++;
                }
            }
            return weight == 0 ? value : sum / weight;
        }
    }

    private record Due(double time, long order, Query query, Input input) { }

    // ---- Settings of the design that are ours to choose -------------------------------------------------

    private static final double LONGEST_THRESHOLD = 1.0;
    private static final int COPY_WINS = 5;
    private static final double PASS_OVER = 5.0;
    private static final double EVIDENCE = Math.log(1000);
    private static final double LEAST_BAD = 0.05;
    private static final double MOST_BAD = 0.2;
    private static final int BAD_SAMPLES = 64;
    private static final double SETTLING = 3.0;
    private static final double SHORTEST_BACKOFF = 0.5;
    private static final double LONGEST_WAIT_SHARE = 0.11;
    private static final double QUIET_WAIT_SHARE = 0.15;
    private static final int PACE_SAMPLES = 16;
    private static final double PACE_AGE = 5;
    private static final double PACE_AGE_MOST = 15;
    private static final double PACE_VISITS = 3;
    private static final double PACE_PRIOR = 1;
    private static final double WAIT_SHARE = 0.12;
    private static final int RATE_SAMPLES = 16;
    private static final double FIRST_TOTAL = 3;
    private static final double FIRST_EACH = 2.5;
    private static final double START_PART = 3;
    private static final int ROUND = 16;
    private static final double LATE_HIGH = 0.25;
    private static final double LATE_LOW = 0.15;
    private static final double TOTAL_CUT_TO = 0.8;
    private static final int KEY_SAMPLES = 128;
    private static final int FEW = 4;
    private static final double FEW_LATE = 0.5;
    private static final double SMALL_CUT_TO = 0.5;
    private static final double SMALL_STEP = 0.12;
    private static final double PACE_MOST = 4;
    private static final double OWN_FAULT = 2;
    private static final int TENANT_SAMPLES = 128;
    private static final int TIME_SAMPLES = 64;
    private static final double FIRST_LIMIT = 1.5;
    private static final double CUT_TO = 0.7;
    private static final double PROMPT_SHARE = 0.35;
    private static final double LATE_SHARE = 0.45;
    private static final double LATEST_SHARE = 0.8;

    private final Effects out;
    private final SplittableRandom chance;
    private final List<Offering> offerings;
    private final Permits permits;
    private final boolean warmKeys;
    private final Cold cold;
    private final ListWatch watch;
    private final int sidecars;

    private final Map<QueryId, Query> queries = new HashMap<>();
    private final Map<ShapeId, Samples> shapePaces = new HashMap<>();
    private final Map<UpstreamId, Upstream> known = new HashMap<>();
    private final List<Upstream> roster = new ArrayList<>();
    private final List<Query> held = new ArrayList<>();
    private final PriorityQueue<Due> dues = new PriorityQueue<>(
            (a, b) -> a.time != b.time ? Double.compare(a.time, b.time) : Long.compare(a.order, b.order));
    private final List<Tenant> tenants;
    private final boolean creditByWork;
    private final List<Samples> tenantSent = new ArrayList<>();
    private final List<Samples> times = new ArrayList<>();
    private long dueOrder;
    private final Samples arrivals = new Samples(RATE_SAMPLES);
    private double paceAge = PACE_AGE;
    private final Samples keys = new Samples(KEY_SAMPLES);
    private final Samples bads = new Samples(BAD_SAMPLES);
    private final TotalLimit total = new TotalLimit();
    private double alarmAt = Double.POSITIVE_INFINITY;
    private double now;

    public Decide(Effects out, long seed, List<Offering> offerings, List<Tenant> tenants, Permits permits,
            ColdRule coldRule, ListRule listRule, int sidecars, boolean sized, boolean warmKeys,
            boolean creditByWork) {
        this.out = out;
        this.chance = new SplittableRandom(seed);
        this.offerings = offerings;
        this.permits = permits;
        this.warmKeys = warmKeys;
        this.creditByWork = creditByWork;
        this.tenants = tenants;
        tenants.forEach(each -> tenantSent.add(new Samples(TENANT_SAMPLES)));
        offerings.forEach(each -> times.add(new Samples(TIME_SAMPLES)));
        this.cold = new Cold(coldRule.share(), coldRule.time(), coldRule.overloadFactor(), sized);
        this.sidecars = Math.max(1, sidecars);
        this.watch = new ListWatch(listRule.onRequest(), listRule.askWithin());
    }

    // ---- Events -----------------------------------------------------------------------------------------

    public void start(double time) {
        now = time;
        watch.ask();
        armAlarm();
    }

    public void arrival(double time, Asked asked) {
        now = time;
        Query q = new Query(asked, offerings.get(asked.offering().value()), time);
        queries.put(asked.id(), q);
        // A quiet sidecar meets an upstream once in a long while and has to remember it until then.
        double visit = roster.size() * arrivals.spacing(now);
        paceAge = Math.max(PACE_AGE, Math.min(PACE_AGE_MOST, PACE_VISITS * visit));
        arrivals.add(now, 1);
        for (int i = 0; i < tenantSent.size() && asked.tenant() != null; i++) {
            tenantSent.get(i).add(now, asked.tenant().value() == i ? 1 : 0);
        }
        q.keyLot = keyLot(asked);
        step(q, Input.ARRIVED);
        forgetIfDone(q);
        armAlarm();
    }

    public void outcome(double time, QueryId id, int execution, Outcome outcome, boolean ended,
            LoadReport report) {
        now = time;
        Query q = queries.get(id);
        if (q == null || execution >= q.executions.size() || q.executions.get(execution).outcome != null) {
            return;
        }
        Execution e = q.executions.get(execution);
        e.outcome = outcome;
        e.at.inFlight--;
        judge(q, e, reportedWait(report));
        forgetGone();
        if (ended && q.state != State.CLOSED) {
            q.winner = e;
            step(q, outcome == Outcome.HANDLED ? Input.WON : Input.LEFT);
        } else if (!ended) {
            step(q, Input.ENDED);
        }
        forgetIfDone(q);
        placeHeld();
        armAlarm();
    }

    /** A streamed answer has begun: the execution is the client's now and the others are not needed. */
    public void begun(double time, QueryId id, int execution) {
        now = time;
        Query q = queries.get(id);
        if (q != null && q.state != State.CLOSED && execution < q.executions.size()) {
            q.winner = q.executions.get(execution);
            step(q, Input.WON);
        }
        armAlarm();
    }

    public void left(double time, QueryId id) {
        now = time;
        Query q = queries.get(id);
        if (q != null) {
            step(q, Input.LEFT);
            forgetIfDone(q);
        }
        armAlarm();
    }

    public void alarm(double time) {
        now = time;
        if (now >= alarmAt) {
            alarmAt = Double.POSITIVE_INFINITY;
        }
        while (!dues.isEmpty() && dues.peek().time <= now) {
            Due due = dues.poll();
            step(due.query, due.input);
            forgetIfDone(due.query);
        }
        if (now >= watch.askAt) {
            watch.ask();
        }
        placeHeld();
        armAlarm();
    }

    public void list(double time, ListNews news, List<Listed> rows) {
        now = time;
        if (news == ListNews.FAILED) {
            watch.failed();
            armAlarm();
            return;
        }
        if (news != ListNews.REMEMBERED) {
            watch.answered();
        }
        if (news != ListNews.CHANGES) {
            roster.forEach(u -> u.ready = !(u.gone = true));
        }
        for (Listed row : rows) {
            Upstream u = known.get(row.id());
            if (u == null) {
                u = new Upstream(row.id());
                u.seenAt = news == ListNews.REMEMBERED ? Double.NEGATIVE_INFINITY : now;
                u.coldCredit = chance.nextDouble();
                known.put(row.id(), u);
                roster.add(chance.nextInt(roster.size() + 1), u);
            } else if (row.onlineSince() > u.listed.onlineSince()) {
                // A restarted process has nothing left of what its predecessor was judged by.
                u.seenAt = now;
                u.copyWins = 0;
                u.evidence = 0;
                u.coldCredit = chance.nextDouble();
            }
            u.listed = row;
            u.ready = row.health() == Listed.Health.READY;
            u.gone = row.health() == Listed.Health.GONE;
        }
        forgetGone();
        if (!total.told) {
            total.start((double) roster.stream().filter(u -> u.ready).count() / sidecars);
        }
        placeHeld();
        armAlarm();
    }

    /** Guards against growth where ids are ever new: what the list no longer has and nothing is out at. */
    private void forgetGone() {
        if (roster.removeIf(u -> u.gone && u.inFlight == 0)) {
            known.values().retainAll(roster);
            shapePaces.keySet().retainAll(roster.stream().map(u -> u.listed.shape()).toList());
        }
    }

    // ---- Effects of the table ---------------------------------------------------------------------------

    private Input sendFirst(Query q) {
        Upstream u = pick(q, true);
        if (u == null) {
            return Input.NOWHERE;
        }
        double threshold = Math.min(LONGEST_THRESHOLD, (q.asked.cutOffAt() - q.arrivedAt) / 2);
        send(q, u);
        q.waiting = false;
        if (q.offering.repeats() != Offering.Repeats.AT_MOST_ONCE && permits.copies()) {
            due(now + threshold, q, Input.COPY_DUE);
        }
        return null;
    }

    /** A query that no upstream may take now waits a while: cold ones take little, the list is late. */
    private Input hold(Query q) {
        if (!q.waiting) {
            q.waiting = true;
            held.add(q);
            double budget = Math.min(q.offering.targetTime(), q.asked.cutOffAt() - q.arrivedAt);
            // Below one in flight room comes with time alone, so a little more of it is worth the wait.
            double share = total.size < 1 ? QUIET_WAIT_SHARE : LONGEST_WAIT_SHARE;
            due(q.arrivedAt + budget * share, q, Input.WAITED);
        }
        return null;
    }

    private Input sendCopy(Query q) {
        // When the whole fleet is slow a copy only doubles the load.
        boolean useless = q.copied || total.fleetIsSlow();
        Upstream u = useless || q.offering.repeats() == Offering.Repeats.AT_MOST_ONCE ? null : pick(q, false);
        if (u == null) {
            return Input.KEPT;
        }
        q.copied = true;
        send(q, u);
        return null;
    }

    /** Nothing is out any more: the copy goes now, and later ones while budget and rules allow. */
    private Input sendFurther(Query q) {
        Upstream u = pick(q, false);
        if (u == null) {
            return Input.NOWHERE;
        }
        q.copied = true;
        send(q, u);
        return Input.PLACED;
    }

    private Input callOffRest(Query q) {
        for (Execution e : q.executions) {
            if (e.outcome == null && e != q.winner && permits.cancel()) {
                out.callOff(q.asked.id(), e.index);
            }
        }
        return null;
    }

    /** Answered at once: a client that is told early can still be served elsewhere or come back later. */
    private Input giveUp(Query q) {
        if (mayDeny(q)) {
            out.deny(q.asked.id(), permits.longestCoolDown());
        } else {
            out.writeOff(q.asked.id());
        }
        return null;
    }

    // ---- The rules on repeats and denials ---------------------------------------------------------------

    private static boolean mayDeny(Query q) {
        return switch (q.offering.repeats()) {
            case REISSUABLE -> true;
            case NUMBERED -> q.offering.group() == Offering.Group.ALL || q.firstThatMayHaveRun() == null;
            case AT_MOST_ONCE -> q.firstThatMayHaveRun() == null;
        };
    }

    /** Guards against a second effect: where an execution may have run, only its group drops the repeat. */
    private boolean maySend(Query q, Upstream u) {
        if (q.executions.size() >= permits.executions() || now >= q.asked.cutOffAt()) {
            return false;
        }
        Execution first = q.firstThatMayHaveRun();
        if (first == null) {
            return true;
        }
        return switch (q.offering.repeats()) {
            case REISSUABLE -> permits.copies() || !q.anyOut();
            case AT_MOST_ONCE -> false;
            case NUMBERED -> (permits.copies() || !q.anyOut()) && now < first.sentAt + q.offering.window()
                    && sameGroup(q.offering.group(), first.at.listed, u.listed);
        };
    }

    private static boolean sameGroup(Offering.Group group, Listed a, Listed b) {
        return switch (group) {
            case ALL -> true;
            case ZONE -> a.zone().equals(b.zone());
            case CELL -> a.cell().equals(b.cell());
        };
    }

    // ---- The limit over all upstreams -------------------------------------------------------------------

    /**
     * Guards against a fleet that all sidecars overfill together: one or two executions of each at every
     * upstream are already too many there, and only the sum over our upstreams is fine enough to hold less.
     */
    private static final class TotalLimit {
        private final Samples late = new Samples(ROUND);
        private double size = FIRST_TOTAL;
        private final Samples few = new Samples(FEW);
        private double unit = 1;
        private double least = 1;
        private boolean told;
        private boolean starting = true;
        private double changedAt = Double.NEGATIVE_INFINITY;
        private double freeAt = Double.NEGATIVE_INFINITY;
        private int round;
        private boolean full;
        private int inFlight;

        /** All sidecars may start in one moment: what each begins with is its part of what all may send. */
        void start(double share) {
            if (share == 0) {
                return;
            }
            told = true;
            unit = Math.min(1, share);
            size = Math.min(FIRST_TOTAL, FIRST_EACH * share);
            least = Math.min(1, size);
        }

        /** Below one in flight the limit is held in time: an execution takes up its room for longer. */
        boolean hasRoom(double now) {
            return size >= 1 ? inFlight < size : inFlight == 0 && now >= freeAt;
        }

        boolean fleetIsSlow() {
            return late.mean(Double.NEGATIVE_INFINITY, 0, 0) > LATE_HIGH;
        }

        void ended(double now, double sentAt, double promptWithin, boolean isLate, boolean crowded,
                boolean tellsOfAll) {
            boolean wasFull = inFlight + 1 > size;
            full |= wasFull;
            inFlight--;
            // At the start nothing is known: each prompt outcome makes room until a round goes wrong.
            if (starting && wasFull && !isLate) {
                size += unit >= 1 ? 1 : unit / START_PART;
            }
            if (size < 1) {
                // One that took very long must not close the sidecar for many times that.
                freeAt = Math.max(freeAt, now + Math.min(now - sentAt, promptWithin) * (1 / size - 1));
            }
            if (sentAt < changedAt || isLate && !tellsOfAll && size > 1) {
                return;
            }
            late.add(now, isLate ? 1 : 0);
            if (size <= 1) {
                // One outcome is a round here: what one sidecar errs by, all of them together do not.
                few.add(now, crowded ? 1 : 0);
                if (crowded && few.mean(Double.NEGATIVE_INFINITY, 0, 0) >= FEW_LATE) {
                    size = Math.max(least, size * SMALL_CUT_TO);
                    starting = false;
                } else if (!crowded && wasFull) {
                    size += SMALL_STEP;
                }
                return;
            }
            if (++round < Math.max(ROUND / 2, Math.min(ROUND, size))) {
                return;
            }
            double share = late.mean(Double.NEGATIVE_INFINITY, 0, 0);
            if (share > LATE_HIGH) {
                size = Math.max(least, size * TOTAL_CUT_TO);
                starting = false;
                changedAt = now;
            } else if (share < LATE_LOW && full) {
                size += unit;
            }
            round = 0;
            full = false;
        }
    }

    // ---- Picking ----------------------------------------------------------------------------------------

    private Upstream pick(Query q, boolean first) {
        if (!total.hasRoom(now)) {
            return null;
        }
        double mean = meanInFlight();
        if (first && q.offering.repeats() == Offering.Repeats.REISSUABLE) {
            for (Upstream u : roster) {
                if (u.passedOver() && now >= u.passedUntil && !u.trialOut && mayTake(q, u)) {
                    return u;
                }
            }
        }
        // Shunned while there are others: a choked upstream has to rest before it works as usual again.
        Upstream u = pickAmong(q, mean, OWN_FAULT, false);
        u = u != null ? u : pickAmong(q, mean, Double.POSITIVE_INFINITY, false);
        return u != null ? u : pickAmong(q, mean, Double.POSITIVE_INFINITY, true);
    }

    private boolean mayTake(Query q, Upstream u) {
        return u.ready && u.inFlight < u.limit && !q.triedAt(u) && maySend(q, u) && cold.admits(u, now);
    }

    private Upstream pickAmong(Query q, double mean, double worstPace, boolean passedOverToo) {
        Upstream pick = null;
        double least = Double.POSITIVE_INFINITY;
        double bestDraw = 0;
        boolean idle = false;
        for (Upstream u : roster) {
            if (u.passedOver() && !passedOverToo || !mayTake(q, u)) {
                continue;
            }
            double pace = pace(u);
            if (pace >= worstPace) {
                continue;
            }
            double load = u.inFlight + (now < u.seenAt + SETTLING ? mean : 0);
            if (load == 0 || load <= 1 && warmKeys) {
                double draw = Math.log(draw(q, u)) * pace * pace / u.listed.scale();
                if (!idle || draw > bestDraw) {
                    idle = true;
                    bestDraw = draw;
                    pick = u;
                }
            } else if (!idle) {
                double weighed = load * pace / u.listed.scale();
                if (weighed < least) {
                    least = weighed;
                    pick = u;
                }
            }
        }
        return pick;
    }

    /**
     * The idle ones draw lots, the slow with less luck. Where upstreams do a key's later queries at less
     * work, the lot comes from key and upstream: every sidecar then finds the same ones for a key.
     */
    private double draw(Query q, Upstream u) {
        if (!warmKeys || q.asked.key() == null) {
            return chance.nextDouble();
        }
        long x = q.asked.key().hashCode() * 0x9E3779B97F4A7C15L ^ u.id.value() * 0xC2B2AE3D27D4EB4FL
                ^ q.keyLot * 0x165667B19E3779F9L;
        x = (x ^ x >>> 30) * 0xBF58476D1CE4E5B9L;
        x = (x ^ x >>> 27) * 0x94D049BB133111EBL;
        return ((x ^ x >>> 31) >>> 11) * 0x1.0p-53 + 0x1.0p-54;
    }

    /**
     * Guards the upstream of a key that many ask for: it draws among as many as its part of ours would fill.
     */
    private int keyLot(Asked asked) {
        if (!warmKeys || asked.key() == null) {
            return 0;
        }
        double part = keys.share(asked.key().hashCode());
        keys.add(now, asked.key().hashCode());
        return chance.nextInt(1 + (int) Math.round(part * roster.size()));
    }

    private double meanInFlight() {
        return roster.stream().filter(u -> u.ready).mapToInt(u -> u.inFlight).average().orElse(0);
    }

    private void send(Query q, Upstream u) {
        boolean trial = u.passedOver() && now >= u.passedUntil;
        u.trialOut |= trial;
        q.executions.add(new Execution(q.executions.size(), u, now, trial));
        u.inFlight++;
        total.inFlight++;
        cold.sent(u, roster, now);
        out.send(q.asked.id(), u.id);
    }

    // ---- Health -----------------------------------------------------------------------------------------

    /**
     * What we keep in flight at one upstream grows by one for each full round of prompt outcomes and is cut
     * by a share on a late or failed one. Guards against queues that no answer comes out of in time: what
     * can't be placed waits briefly here and is then denied, while the client can still use that.
     */
    private static void adaptLimit(Upstream u, Execution e, double now, boolean prompt, boolean late) {
        if (prompt) {
            if (u.inFlight + 1 >= u.limit / 2) {
                u.limit += 1 / u.limit;
            }
        } else if (late && e.sentAt >= u.cutAt) {
            u.limit = Math.max(1, u.limit * CUT_TO);
            u.cutAt = now;
        }
    }

    /** Little's law on what the upstream said of its queue. */
    private static double reportedWait(LoadReport report) {
        return report == null ? Double.NaN : report.waiting() / Math.max(1, report.handledRate());
    }

    private void judge(Query q, Execution e, double reportedWait) {
        double spent = now - e.sentAt;
        boolean handled = e.outcome == Outcome.HANDLED;
        double target = q.offering.targetTime();
        // One that many sent after it have overtaken promptly is lost and in no queue: no less would help it.
        boolean lost = !handled && e.at.prompt.allAbove(e.sentAt);
        boolean slow = spent > target * LATE_SHARE && !lost;
        // An error that comes back quickly tells of the upstream, not of too much in flight.
        boolean late = slow || e.outcome == Outcome.FULL || e.outcome == Outcome.TIMED_OUT && !lost;
        if (handled && !slow) {
            e.at.prompt.add(now, e.sentAt);
        }
        adaptLimit(e.at, e, now, handled && spent <= target * PROMPT_SHARE, late);
        boolean crowded = Double.isNaN(reportedWait) ? slow
                : spent > target * LATEST_SHARE || reportedWait > target * WAIT_SHARE;
        total.ended(now, e.sentAt, target * LATE_SHARE, slow, crowded, pace(e.at) < OWN_FAULT);
        samplePace(q, e);
        boolean failed = !handled && !e.outcome.neverRan && e.outcome != Outcome.CALLED_OFF
                || e.outcome == Outcome.NO_CONNECTION;
        if (handled || failed) {
            weigh(e.at, failed);
        }
        if (e.outcome == Outcome.NO_CONNECTION) {
            // Nobody gets through there now, or all its connections are taken.
            e.at.evidence = EVIDENCE;
            e.at.passedUntil = now + PASS_OVER;
        }
        if (e.trial) {
            e.at.trialOut = false;
            e.at.passedUntil = now + PASS_OVER;
            if (handled) {
                e.at.evidence = 0;
            }
        }
        if (handled) {
            Execution primary = q.executions.get(0);
            if (e == primary) {
                e.at.copyWins = 0;
            } else if (q.state == State.RACING && primary.outcome == null) {
                Upstream beaten = primary.at;
                beaten.copyWins++;
                if (beaten.passedOver()) {
                    beaten.passedUntil = now + PASS_OVER;
                }
            }
        }
    }

    /**
     * A sequential test (Wald) on outcomes, against what all our upstreams show together. Guards sidecars of
     * little traffic, whose win counter is cleared by each answer between two bad ones.
     */
    private void weigh(Upstream u, boolean isBad) {
        double usual = Math.min(MOST_BAD, Math.max(LEAST_BAD, bads.mean(Double.NEGATIVE_INFINITY, 0, 0)));
        double sick = (9 + usual) / 10;
        boolean before = u.passedOver();
        u.evidence += isBad ? Math.log(sick / usual) : Math.log((1 - sick) / (1 - usual));
        u.evidence = Math.max(0, Math.min(u.evidence, EVIDENCE));
        bads.add(now, isBad ? 1 : 0);
        if (!before && u.passedOver()) {
            u.passedUntil = now + PASS_OVER;
        }
    }

    /** How long an upstream takes against others; a loser's time counts as far as it got. */
    private void samplePace(Query q, Execution e) {
        Samples usual = times.get(q.asked.offering().value());
        double spent = now - e.sentAt;
        double mean = usual.mean(Double.NEGATIVE_INFINITY, 0, spent);
        boolean handled = e.outcome == Outcome.HANDLED;
        if (handled) {
            usual.add(now, spent);
        }
        if (mean > 0 && (handled || !e.outcome.neverRan && spent > mean)) {
            double ratio = Math.min(spent / mean, PACE_MOST);
            e.at.paces.add(now, ratio);
            shapePaces.computeIfAbsent(e.at.listed.shape(), k -> new Samples(PACE_SAMPLES)).add(now, ratio);
        }
    }

    /**
     * What we know of an upstream that we have not met lately: how its shape does. Guards quiet sidecars,
     * which meet each upstream rarely, where one kind of machine is crowded or sick as a whole.
     */
    private double shapePace(ShapeId shape) {
        Samples seen = paceAge == PACE_AGE ? null : shapePaces.get(shape);
        return seen == null ? 1 : Math.max(1, seen.mean(now - PACE_AGE, PACE_PRIOR, 1));
    }

    private double pace(Upstream u) {
        return u.paces.mean(now - paceAge, PACE_PRIOR, shapePace(u.listed.shape()));
    }

    // ---- Cold upstreams ---------------------------------------------------------------------------------

    /**
     * Guards against all sidecars together pushing over an upstream that has just started: each sends it no
     * more than a ramp's share of what it sends a like warm one, so the sum keeps to the ramp.
     */
    private static final class Cold {
        private final double share;
        private final double time;
        private final double stretch;
        private final boolean sized;

        Cold(double share, double time, double overloadFactor, boolean sized) {
            // Halfway, in ratio, between what it can surely do and what pushes it over.
            this.stretch = Math.sqrt(overloadFactor);
            this.share = share;
            this.time = time;
            this.sized = sized;
        }

        double ramp(Upstream u, double now) {
            double since = u.listed.onlineSince();
            if (since <= 0 || now >= since + time || time <= 0) {
                return 1;
            }
            return share + (1 - share) * Math.max(0, now - since) / time;
        }

        boolean admits(Upstream u, double now) {
            return u.coldCredit >= 1 || ramp(u, now) >= 1;
        }

        /** Every send to a warm upstream, or any where none is, earns each cold one its part of a send. */
        void sent(Upstream to, List<Upstream> roster, double now) {
            int warm = 0;
            double size = 0;
            int ready = 0;
            for (Upstream u : roster) {
                if (u.ready) {
                    ready++;
                    if (ramp(u, now) >= 1) {
                        warm++;
                        size += u.listed.scale();
                    }
                }
            }
            if (warm == ready) {
                return;
            }
            boolean toWarm = ramp(to, now) >= 1;
            if (!toWarm) {
                to.coldCredit -= 1;
            }
            if (!toWarm && warm > 0) {
                return;
            }
            for (Upstream u : roster) {
                double f = u.ready ? ramp(u, now) : 1;
                if (f < 1) {
                    double each = warm > 0 ? f * (sized ? u.listed.scale() / size : 1.0 / warm) : 1.0 / ready;
                    u.coldCredit = Math.min(2, u.coldCredit + each * stretch);
                }
            }
        }
    }

    // ---- Following the list -----------------------------------------------------------------------------

    /** The list is one service for all sidecars: those that failed together must not come back together. */
    private final class ListWatch {
        private final boolean onRequest;
        private final double longestBackoff;
        private double askAt = Double.POSITIVE_INFINITY;
        private int failures;

        ListWatch(boolean onRequest, double askWithin) {
            this.onRequest = onRequest;
            this.longestBackoff = Math.max(SHORTEST_BACKOFF, askWithin / 4);
        }

        void ask() {
            if (onRequest) {
                askAt = Double.POSITIVE_INFINITY;
                out.watchList();
            }
        }

        void failed() {
            double backoff = Math.min(longestBackoff, SHORTEST_BACKOFF * (1 << Math.min(failures, 8)));
            failures++;
            askAt = now + backoff * (0.5 + chance.nextDouble() / 2);
        }

        void answered() {
            failures = 0;
            askAt = Double.POSITIVE_INFINITY;
        }
    }

    // ---- Held queries and timers ------------------------------------------------------------------------

    /** What a full fleet can take goes to the query that earns most for its work, not to the oldest. */
    private void placeHeld() {
        held.removeIf(q -> q.state != State.HELD);
        while (!held.isEmpty() && total.hasRoom(now)) {
            Query best = held.get(0);
            for (Query q : held) {
                best = value(q) > value(best) ? q : best;
            }
            step(best, Input.TURN);
            if (best.state == State.HELD) {
                return;
            }
            held.remove(best);
            forgetIfDone(best);
        }
    }

    /** Credit for the work it usually takes; what goes beyond a tenant's share earns little. */
    private double value(Query q) {
        Samples usual = times.get(q.asked.offering().value());
        double work = creditByWork ? 1 : usual.mean(Double.NEGATIVE_INFINITY, 1, 0.1);
        return q.offering.credit() / work * Math.min(1, shareTaken(q.asked.tenant()));
    }

    /** A tenant's share over the part of our last queries that it sent; over 1 where it keeps within it. */
    private double shareTaken(TenantId tenant) {
        if (tenant == null) {
            return 1;
        }
        double part = tenantSent.get(tenant.value()).mean(Double.NEGATIVE_INFINITY, 0, 0);
        return part == 0 ? 1 : tenants.get(tenant.value()).share() / part;
    }

    private void due(double time, Query q, Input input) {
        dues.add(new Due(time, dueOrder++, q, input));
    }

    private void armAlarm() {
        while (!dues.isEmpty() && dues.peek().query.state == State.CLOSED) {
            dues.poll();
        }
        double next = Math.min(watch.askAt, dues.isEmpty() ? Double.POSITIVE_INFINITY : dues.peek().time);
        if (!held.isEmpty() && total.inFlight == 0 && total.freeAt > now) {
            next = Math.min(next, total.freeAt);
        }
        if (next < alarmAt) {
            alarmAt = next;
            out.alarmAt(next);
        }
    }

    /** Kept until its last execution has ended: a late outcome still tells of the upstream. */
    private void forgetIfDone(Query q) {
        if (q.state == State.CLOSED && !q.anyOut()) {
            queries.remove(q.asked.id());
        }
    }
}
