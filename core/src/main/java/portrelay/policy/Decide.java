package portrelay.policy;

// The decisions of one sidecar: the table and its events here, the rest in the files beside. A front makes
// one Decide for each instance, hands it the settings, and calls start, list, arrival, outcome, begun, left
// and alarm in the order in which things happen, each with the time in seconds. Decide answers through
// portrelay.model.Effects, which the front implements; the types that pass between them stand in
// portrelay.model. A call never waits and instances share nothing. docs/design.md tells what is kept of the
// design, what is changed and when each change acts.

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
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
import portrelay.model.Site;
import portrelay.model.Tenant;
import portrelay.model.TenantId;
import portrelay.model.UpstreamId;

public final class Decide {

    // ---- The table --------------------------------------------------------------------------------------

    /** HELD has nothing out and waits for a place; BARE has nothing out after one that did not help. */
    enum State { FRESH, LOOKING, HELD, ALONE, RACING, BARE, CLOSED }

    enum Input { ARRIVED, SEEN, AGAIN, NOWHERE, TURN, WAITED, PLACED, COPY_DUE, COPY_SEEN, KEPT, ENDED, WON, LEFT }

    /** What a row does; the input it returns, if any, is read from the row's next state at once. */
    private interface Effect {
        Input on(Decide d, Query q);
    }

    private record Row(State state, Input input, State next, Effect effect) { }

    private static final Effect NOTHING = (d, q) -> null;

    private static final List<Row> TABLE = List.of(
            new Row(State.FRESH, Input.ARRIVED, State.LOOKING, Decide::look),
            new Row(State.LOOKING, Input.SEEN, State.ALONE, Decide::sendFirst),
            new Row(State.LOOKING, Input.LEFT, State.CLOSED, NOTHING),
            new Row(State.ALONE, Input.AGAIN, State.LOOKING, Decide::look),
            new Row(State.ALONE, Input.NOWHERE, State.HELD, Decide::hold),
            new Row(State.ALONE, Input.COPY_DUE, State.ALONE, Decide::look),
            new Row(State.ALONE, Input.COPY_SEEN, State.RACING, Decide::sendCopy),
            new Row(State.ALONE, Input.ENDED, State.BARE, Decide::look),
            new Row(State.ALONE, Input.WON, State.CLOSED, Decide::callOffRest),
            new Row(State.ALONE, Input.LEFT, State.CLOSED, Decide::callOffRest),
            new Row(State.RACING, Input.KEPT, State.ALONE, NOTHING),
            new Row(State.RACING, Input.ENDED, State.ALONE, NOTHING),
            new Row(State.RACING, Input.WON, State.CLOSED, Decide::callOffRest),
            new Row(State.RACING, Input.LEFT, State.CLOSED, Decide::callOffRest),
            new Row(State.BARE, Input.SEEN, State.BARE, Decide::sendFurther),
            new Row(State.BARE, Input.LEFT, State.CLOSED, NOTHING),
            new Row(State.BARE, Input.PLACED, State.ALONE, NOTHING),
            new Row(State.BARE, Input.NOWHERE, State.CLOSED, Decide::giveUp),
            new Row(State.HELD, Input.TURN, State.LOOKING, Decide::look),
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

    private record Due(double time, long order, Query query, Input input) { }

    // ---- Settings of the design that are ours to choose -------------------------------------------------

    private static final double LONGEST_THRESHOLD = 1.0;
    private static final double SETTLING = 3.0;
    private static final double LONGEST_WAIT_SHARE = 0.11;
    private static final double QUIET_WAIT_SHARE = 0.15;
    private static final int RATE_SAMPLES = 16;
    private static final int TENANT_SAMPLES = 128;
    private static final int LOOKS = 5;
    private static final int MOST_LOOKS = 2;
    private static final double LOOK_WAIT = 0.004;
    private static final double LOOK_EVERY = 0.015;
    private static final double LOOK_FRESH = 0.008;
    private static final double COPY_SHARE = 0.6;
    private static final double FIT_SHARE = 0.9;
    private static final double OLD_TRIALS = 0.01;
    private static final int OVERTAKEN = 4;
    private static final double LONGEST_TOLD = 1.5;

    private final Effects out;
    private final SplittableRandom chance;
    private final List<Offering> offerings;
    private final Permits permits;
    private final Cold cold;
    private final ListWatch watch;
    private final Site site;
    private final boolean seen;
    private boolean blindToo;
    private Part part;
    private final Set<Query> looking = new LinkedHashSet<>();

    private final Map<QueryId, Query> queries = new HashMap<>();
    private final Map<UpstreamId, Upstream> known = new HashMap<>();
    private final List<Upstream> roster = new ArrayList<>();
    private final List<Query> held = new ArrayList<>();
    private final PriorityQueue<Due> dues = new PriorityQueue<>(
            (a, b) -> a.time != b.time ? Double.compare(a.time, b.time) : Long.compare(a.order, b.order));
    private final List<Tenant> tenants;
    private final List<Samples> tenantSent = new ArrayList<>();
    private long dueOrder;
    private final Samples arrivals = new Samples(RATE_SAMPLES);
    private final Health health;
    private final TotalLimit total = new TotalLimit();
    private double alarmAt = Double.POSITIVE_INFINITY;
    private double now;

    public Decide(Effects out, long seed, List<Offering> offerings, List<Tenant> tenants, Permits permits,
            ColdRule coldRule, ListRule listRule, Site site) {
        this.out = out;
        this.chance = new SplittableRandom(seed);
        this.offerings = offerings;
        this.permits = permits;
        this.tenants = tenants;
        tenants.forEach(each -> tenantSent.add(new Samples(TENANT_SAMPLES)));
        this.health = new Health(offerings.size());
        this.cold = new Cold(coldRule.share(), coldRule.time(), coldRule.overloadFactor(),
                site.weights() != Site.Weights.SILENT);
        this.site = site;
        this.seen = site.looks() || site.shares();
        this.watch = new ListWatch(out, chance, listRule.onRequest(), listRule.askWithin());
    }

    // ---- Events -----------------------------------------------------------------------------------------

    public void start(double time) {
        now = time;
        part = site.shares() ? new Part(out, site, now) : null;
        watch.ask();
        armAlarm();
    }

    public void arrival(double time, Asked asked) {
        now = time;
        Query q = new Query(asked, offerings.get(asked.offering().value()), time);
        queries.put(asked.id(), q);
        health.visitsEach((part == null ? roster.size() : part.size()) * arrivals.spacing(now));
        arrivals.add(now, 1);
        if (asked.tenant() != null) {
            countTenant(asked.tenant().value());
        }
        step(q, Input.ARRIVED);
        forgetIfDone(q);
        armAlarm();
    }

    private void countTenant(int tenant) {
        for (int i = 0; i < tenantSent.size(); i++) {
            tenantSent.get(i).add(now, tenant == i ? 1 : 0);
        }
    }

    /** What an upstream tells of its load; null where it did not answer in time. */
    public void probed(double time, UpstreamId id, LoadReport report) {
        now = time;
        Upstream u = known.get(id);
        if (u != null) {
            u.probeOut = false;
            if (report != null && report.inHand() >= 0) {
                u.reported = Math.rint(report.inHand());
                u.reportedAt = now;
            }
            for (Query q : List.copyOf(looking)) {
                if (q.sought.remove(u) && (q.sought.isEmpty() || u.reportedAt == now && u.reported == 0)) {
                    looking.remove(q);
                    step(q, q.then);
                    forgetIfDone(q);
                }
            }
        }
        armAlarm();
    }

    /** What another sidecar tells; wherever it is not of our part it changes nothing. */
    public void heard(double time, int from, String text) {
        now = time;
        Part.News news = part == null ? null : part.heard(from, text, now);
        if (news != null && news.word() == Part.Word.BEGUN) {
            news.at().told.add(new Upstream.Told(from, now));
            if (news.tenant() >= 0) {
                countTenant(news.tenant());
            }
        } else if (news != null) {
            news.at().ended(from);
            endedAt(news.at(), news.word());
            placeHeld();
        }
        armAlarm();
    }

    private void endedAt(Upstream u, Part.Word word) {
        if (word == Part.Word.HANDLED) {
            u.handledAt = now;
            u.handled++;
        }
        if (word != Part.Word.DROPPED) {
            health.weigh(now, u, word == Part.Word.FAILED);
        }
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
        health.judge(now, q, e, total);
        if (part != null) {
            shareEnd(q, e);
        }
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

    /** Whether one that came now would find room under the limit over all, with nobody held before it. */
    public boolean hasRoom(double time) {
        return held.isEmpty() && total.hasRoom(time);
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
        if (part != null) {
            part.look(now);
        }
        placeHeld();
        armAlarm();
    }

    public void list(double time, ListNews news, List<Listed> rows) {
        now = time;
        if (news == ListNews.FAILED) {
            watch.failed(now);
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
            u.weighted(row.scale(), site.weights() == Site.Weights.LIVE);
            u.ready = row.health() == Listed.Health.READY;
            u.gone = row.health() == Listed.Health.GONE;
        }
        forgetGone();
        if (!total.told) {
            total.start((double) roster.stream().filter(u -> u.ready).count() / site.sidecars());
        }
        if (part != null) {
            part.listed(roster, now);
        }
        placeHeld();
        armAlarm();
    }

    /** Guards against growth where ids are ever new: what the list no longer has and nothing is out at. */
    private void forgetGone() {
        if (roster.removeIf(u -> u.gone && u.inFlight == 0)) {
            known.values().retainAll(roster);
            health.forgetAllBut(roster.stream().map(u -> u.listed.shape()).toList());
        }
    }

    // ---- Effects of the table ---------------------------------------------------------------------------

    private Input sendFirst(Query q) {
        Upstream u = pick(q, true);
        if (site.looks() && q.looks < MOST_LOOKS && (u == null || load(u) >= 1)) {
            return Input.AGAIN;
        }
        if (u == null) {
            return Input.NOWHERE;
        }
        double threshold = Math.min(LONGEST_THRESHOLD, (q.asked.cutOffAt() - q.arrivedAt) / 2);
        if (seen) {
            threshold = Math.min(threshold, q.offering.targetTime() * COPY_SHARE);
        }
        send(q, u);
        q.waiting = false;
        if (q.offering.repeats() != Offering.Repeats.AT_MOST_ONCE && permits.copies()) {
            due(now + threshold, q, Input.COPY_DUE);
        }
        return null;
    }

    /** A query that no upstream may take now waits a while: cold ones take little, the list is late. */
    private Input hold(Query q) {
        double budget = Math.min(q.offering.targetTime(), q.asked.cutOffAt() - q.arrivedAt);
        // Below one in flight room comes with time alone, so a little more of it is worth the wait.
        double share = !seen && total.size < 1 ? QUIET_WAIT_SHARE : LONGEST_WAIT_SHARE;
        double until = q.arrivedAt + budget * share;
        if (site.looks()) {
            due(now + LOOK_EVERY, q, Input.TURN);
            return now + LOOK_EVERY < until ? null : Input.WAITED;
        }
        if (!q.waiting) {
            q.waiting = true;
            held.add(q);
            due(until, q, Input.WAITED);
        }
        return null;
    }

    /** Where upstreams tell their load to probes alone, a few are asked; the first idle one ends the wait. */
    private Input look(Query q) {
        q.then = q.state == State.ALONE ? Input.COPY_SEEN : Input.SEEN;
        q.looks = q.executions.isEmpty() ? q.looks + 1 : MOST_LOOKS;
        if (!site.looks() || now + LOOK_WAIT >= q.asked.cutOffAt() || q.state == State.ALONE && q.copied) {
            return q.then;
        }
        List<Upstream> all = new ArrayList<>(roster);
        all.removeIf(u -> u.passedOver() && now < u.passedUntil || !mayTake(q, u));
        q.sought.clear();
        while (!all.isEmpty() && q.sought.size() < LOOKS) {
            Upstream u = all.remove(chance.nextInt(all.size()));
            q.sought.add(u);
            if (!u.probeOut) {
                u.probeOut = true;
                out.probe(u.id);
            }
        }
        if (q.sought.isEmpty()) {
            return q.then;
        }
        looking.add(q);
        due(now + LOOK_WAIT, q, q.then);
        return null;
    }

    private Input sendCopy(Query q) {
        // When the whole fleet is slow a copy only doubles the load.
        boolean useless = q.copied || !seen && total.fleetIsSlow();
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

    // ---- Picking ----------------------------------------------------------------------------------------

    private Upstream pick(Query q, boolean first) {
        looking.remove(q);
        if (!seen && !total.hasRoom(now)) {
            return null;
        }
        double mean = meanInFlight();
        roster.forEach(u -> u.forgetBefore(now - LONGEST_TOLD));
        if (first && q.offering.repeats() == Offering.Repeats.REISSUABLE) {
            for (Upstream u : roster) {
                if (u.passedOver() && now >= u.passedUntil && !u.trialOut && mayTake(q, u)
                        && (!seen || load(u) == 0 && !blind(u))) {
                    return u;
                }
            }
        }
        // Shunned while there are others: a choked upstream has to rest before it works as usual again.
        blindToo = site.looks() && roster.stream().noneMatch(u -> !blind(u) && mayTake(q, u));
        Upstream u = pickAmong(q, mean, Health.OWN_FAULT, false);
        u = u != null ? u : pickAmong(q, mean, Double.POSITIVE_INFINITY, false);
        u = u != null ? u : pickAmong(q, mean, Double.POSITIVE_INFINITY, true);
        return u;
    }

    private boolean mayTake(Query q, Upstream u) {
        return u.ready && (seen || u.inFlight < u.limit) && (part == null || part.has(u)) && !q.triedAt(u) && maySend(q, u) && cold.admits(u, now);
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
            double pace = health.pace(u, now);
            if (pace >= worstPace) {
                continue;
            }
            if (seen) {
                // What answered no probe, or nobody, is left until nothing else is there.
                double due = expected(u) * (site.looks() ? 1 : pace);
                boolean may = inTime(q, due) && (!q.asked.again() || load(u) < u.cores);
                double cost = part != null && part.deaf(now) ? -due * Math.log(chance.nextDouble()) : due;
                if (cost < least && (blind(u) ? blindToo : may)) {
                    least = cost;
                    pick = u;
                }
                continue;
            }
            double load = u.inFlight + (now < u.seenAt + SETTLING ? mean : 0);
            if (load == 0) {
                double draw = Math.log(chance.nextDouble()) * pace * pace / u.listed.scale();
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

    /** In flight there as far as anybody told us. */
    private double load(Upstream u) {
        return part != null ? part.deaf(now) ? Math.max(u.told.size(), u.listedHeld()) : u.told.size() : site.looks() ? u.reported : u.inFlight;
    }

    /** It answered no probe just now, or none of those who share it for long. */
    private boolean blind(Upstream u) {
        return part == null ? now > u.reportedAt + LOOK_FRESH
                : u.silent(now) || u.restedOut > 0 && part.reaping(now);
    }

    /** How long a query takes there, with those before it, as a multiple of the usual time alone. */
    private double expected(Upstream u) {
        return seen ? Math.max(1, (load(u) + 1) / u.cores) / Math.max(u.size, Double.MIN_NORMAL) : 1;
    }

    /** Guards against queues that no answer comes out of in time; over their share tenants wait for less. */
    private boolean inTime(Query q, double expected) {
        double fit = FIT_SHARE * (0.7 + 0.3 * Math.min(1, shareTaken(q.asked.tenant())));
        double target = q.offering.targetTime();
        return now - q.arrivedAt + expected * health.usualTime(q.offering, target / 3) <= target * fit;
    }

    private double meanInFlight() {
        return roster.stream().filter(u -> u.ready).mapToInt(u -> u.inFlight).average().orElse(0);
    }

    private void send(Query q, Upstream u) {
        boolean trial = u.passedOver() && now >= u.passedUntil;
        u.trialOut |= trial;
        double idle = u.inFlight == 0 && u.answeredAt > 0 ? now - u.answeredAt : 0;
        boolean trialOfOld = q.offering.repeats() == Offering.Repeats.REISSUABLE && chance.nextDouble() < OLD_TRIALS;
        if (part != null && !trialOfOld && part.tooOld(idle, now)) {
            out.letGo(u.id);
            idle = 0;
        }
        q.executions.add(new Execution(q.executions.size(), u, now, trial, expected(u), idle,
                u.handled + (int) load(u) + OVERTAKEN));
        u.inFlight++;
        u.restedOut += idle > 0 ? 1 : 0;
        u.reported++;
        if (part != null) {
            u.told.add(new Upstream.Told(site.me(), now));
            part.tell(Part.Word.BEGUN, u, q.asked.tenant() == null ? -1 : q.asked.tenant().value());
        }
        total.inFlight++;
        cold.sent(u, roster, now);
        out.send(q.asked.id(), u.id);
    }

    /** Tells the others of an end; what was overtaken on a rested connection tells of the connection. */
    private void shareEnd(Query q, Execution e) {
        Upstream u = e.at;
        u.ended(site.me());
        u.restedOut -= e.idle > 0 ? 1 : 0;
        boolean handled = e.outcome == Outcome.HANDLED;
        boolean lost = !handled && e.idle > 0 && u.handled >= e.overtakenAt && !e.outcome.neverRan;
        if (lost) {
            part.reaped(e.idle, now, true);
        }
        boolean failed = !lost && !handled && !e.outcome.neverRan
                && (e.outcome != Outcome.CALLED_OFF || now - e.sentAt > q.offering.targetTime() * COPY_SHARE);
        Part.Word word = handled ? Part.Word.HANDLED : failed ? Part.Word.FAILED : Part.Word.DROPPED;
        if (handled) {
            u.answeredAt = now;
            u.handledAt = now;
            u.handled++;
        } else if (failed && e.outcome == Outcome.CALLED_OFF) {
            health.weigh(now, u, true);
        }
        part.tell(word, u, -1);
    }

    // ---- Held queries and timers ------------------------------------------------------------------------

    /** What a full fleet can take goes to the query that earns most for its work, not to the oldest. */
    private void placeHeld() {
        held.removeIf(q -> q.state != State.HELD);
        while (!held.isEmpty() && (seen || total.hasRoom(now))) {
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
        double work = health.usualTime(q.offering, 0.1);
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
        double next = Math.min(part == null ? watch.askAt : Math.min(watch.askAt, part.nextAt()), dues.isEmpty() ? Double.POSITIVE_INFINITY : dues.peek().time);
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
