package portrelay.policy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import portrelay.model.Asked;
import portrelay.model.ColdRule;
import portrelay.model.Deployment;
import portrelay.model.Effects;
import portrelay.model.GroupId;
import portrelay.model.ListNews;
import portrelay.model.ListRule;
import portrelay.model.Listed;
import portrelay.model.LoadReport;
import portrelay.model.Offering;
import portrelay.model.OfferingId;
import portrelay.model.Outcome;
import portrelay.model.Permits;
import portrelay.model.QueryId;
import portrelay.model.ShapeId;
import portrelay.model.Site;
import portrelay.model.TenantId;
import portrelay.model.UpstreamId;
import portrelay.model.ZoneId;

/** One module with a clock, and a record of what it did; the tests play the world around it by hand. */
class Rig implements Effects {

    static final int REISSUABLE = 0;
    static final int NUMBERED = 1;
    static final int AT_MOST_ONCE = 2;
    static final int NUMBERED_ANYWHERE = 3;
    static final double ASK_WITHIN = 10;
    static final ColdRule COLD = new ColdRule(0.2, 10, 3, 1);
    static final Permits PERMITS = new Permits(4, true, true, true, 2);
    static final List<Offering> OFFERINGS = List.of(
            offering(REISSUABLE, Offering.Repeats.REISSUABLE, Offering.Group.ALL),
            offering(NUMBERED, Offering.Repeats.NUMBERED, Offering.Group.CELL),
            offering(AT_MOST_ONCE, Offering.Repeats.AT_MOST_ONCE, Offering.Group.ALL),
            offering(NUMBERED_ANYWHERE, Offering.Repeats.NUMBERED, Offering.Group.ALL));

    static final int ALL = -1;
    static final Site ALONE = new Site(0, 1, null, Site.Weights.NOMINAL, Site.Reports.SILENT, false, false);
    static final Site LOOKING = new Site(0, 50, null, Site.Weights.SILENT, Site.Reports.WITH_PROBES, false, true);

    /** One of ten, at home in a zone whose upstreams are 6 x zone and the next five. */
    static Site sharing(int me, int zone) {
        return new Site(me, 10, new ZoneId(zone), Site.Weights.LIVE, Site.Reports.WITH_ANSWERS, true, false);
    }

    record Told(int to, String text) {}

    record Sent(QueryId query, int index, UpstreamId at, double time) {}

    final List<Sent> sent = new ArrayList<>();
    final List<QueryId> denied = new ArrayList<>();
    double coolDown;
    final List<QueryId> writtenOff = new ArrayList<>();
    final List<Sent> calledOff = new ArrayList<>();
    final List<Double> alarms = new ArrayList<>();
    final Map<QueryId, Integer> executions = new LinkedHashMap<>();
    final List<UpstreamId> probed = new ArrayList<>();
    final List<UpstreamId> letGo = new ArrayList<>();
    final List<Told> told = new ArrayList<>();
    int watches;
    private final Site site;
    double now = 100;
    Decide decide;

    Rig(long seed) {
        this(seed, 1);
    }

    Rig(long seed, int sidecars) {
        this(seed, new Site(0, sidecars, null, Site.Weights.NOMINAL, Site.Reports.SILENT, false, false));
    }

    Rig(long seed, Site site) {
        this.site = site;
        restart(seed);
    }

    final void restart(long seed) {
        alarms.clear();
        executions.clear();
        decide = new Decide(
                this, seed, new Deployment(OFFERINGS, List.of(), PERMITS, COLD, new ListRule(true, ASK_WITHIN), site));
        decide.start(now);
    }

    private static Offering offering(int id, Offering.Repeats repeats, Offering.Group group) {
        return new Offering(new OfferingId(id), repeats, group, 0.4, 2, 0.7, 1, 0.2, false);
    }

    /** Upstreams 0 to 2 share one cell, 3 to 5 the next, and so on. */
    static Listed row(int upstream, Listed.Health health, double since) {
        return new Listed(
                new UpstreamId(upstream),
                health,
                since,
                1,
                new GroupId(upstream / 3),
                new ZoneId(upstream / 6),
                new ShapeId(upstream % 2));
    }

    /** The list as it moves: upstreams from 0 on with these weights. */
    void weights(double... scales) {
        List<Listed> rows = new ArrayList<>();
        for (int i = 0; i < scales.length; i++) {
            Listed row = row(i, Listed.Health.READY, 0);
            rows.add(new Listed(row.id(), row.health(), 0, scales[i], row.cell(), row.zone(), row.shape()));
        }
        decide.list(now, ListNews.CHANGES, rows);
    }

    void ready(int upstreams) {
        List<Listed> rows = new ArrayList<>();
        for (int i = 0; i < upstreams; i++) {
            rows.add(row(i, Listed.Health.READY, 0));
        }
        decide.list(now, ListNews.REMEMBERED, rows);
        decide.list(now, ListNews.WHOLE, rows);
    }

    QueryId ask(String name, int offering, double budget) {
        QueryId id = new QueryId(name);
        decide.arrival(
                now, new Asked(id, new OfferingId(offering), (TenantId) null, null, now + budget, Double.NaN, false));
        return id;
    }

    void end(Sent s, Outcome outcome) {
        end(s, outcome, null);
    }

    void end(Sent s, Outcome outcome, LoadReport report) {
        boolean ended = outcome == Outcome.HANDLED;
        decide.outcome(now, s.query(), s.index(), outcome, ended, report);
    }

    Sent last() {
        return sent.get(sent.size() - 1);
    }

    /** Moves the clock on and rings the alarms on their way. */
    void pass(double seconds) {
        double until = now + seconds;
        while (true) {
            double next = alarms.stream().mapToDouble(each -> each).min().orElse(Double.POSITIVE_INFINITY);
            if (next > until) {
                break;
            }
            alarms.remove(next);
            now = Math.max(now, next);
            decide.alarm(now);
        }
        now = until;
    }

    @Override
    public void send(QueryId query, UpstreamId upstream) {
        int index = executions.merge(query, 1, Integer::sum) - 1;
        sent.add(new Sent(query, index, upstream, now));
    }

    @Override
    public void callOff(QueryId query, int execution) {
        calledOff.add(new Sent(query, execution, null, now));
    }

    @Override
    public void deny(QueryId query, double coolDown) {
        denied.add(query);
        this.coolDown = coolDown;
    }

    @Override
    public void writeOff(QueryId query) {
        writtenOff.add(query);
    }

    @Override
    public void alarmAt(double time) {
        alarms.add(time);
    }

    @Override
    public void watchList() {
        watches++;
    }

    @Override
    public void probe(UpstreamId upstream) {
        probed.add(upstream);
    }

    @Override
    public void tell(int sidecar, String text) {
        told.add(new Told(sidecar, text));
    }

    @Override
    public void tellAll(String text) {
        told.add(new Told(ALL, text));
    }

    @Override
    public void letGo(UpstreamId upstream) {
        letGo.add(upstream);
    }

    @Override
    public void note(String text) {}
}
