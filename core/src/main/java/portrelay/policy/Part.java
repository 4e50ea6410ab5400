package portrelay.policy;

import java.util.*;
import portrelay.gossip.Gossip;
import portrelay.model.*;

/**
 * The part of the roster that this sidecar keeps to. Those that keep to the same part tell each other of
 * their executions: a quiet sidecar then knows what is in flight at its upstreams, meets them often enough to
 * judge them, and needs few connections. Parts are cut from the list alone, sidecars lay themselves over them
 * by what all have said of their zones; nobody decides for others.
 */
final class Part {

    private record Piece(String name, char zone, List<Upstream> upstreams, double size) { }

    private static final int MOST_SHARERS = 14;
    private static final int FEWEST = 2;
    private static final double LAY_AFTER = 0.1;
    private static final double LAY_EVERY = 1;
    private static final double LEAST_ROOM = 0.01;
    private static final double REAPED_FOR = 20;
    private static final double REAP_SPARE = 0.95;
    private static final int LOST_SAMPLES = 8;
    private static final double TOLD_EVERY = 1;

    final Gossip gossip;
    private final Site site;
    private final Map<Upstream, Integer> codes = new HashMap<>();
    private final Upstream[] byCode = new Upstream[Gossip.CODES];
    private List<Upstream> ready = List.of();
    private double layAt;
    private double laidAt = Double.NEGATIVE_INFINITY;
    /** How long the connections of the last lost ones had rested. */
    private final Samples lost = new Samples(LOST_SAMPLES);
    private double reapUntil = Double.NEGATIVE_INFINITY;
    private double reapToldAt = Double.NEGATIVE_INFINITY;

    Part(Effects out, Site site, double now) {
        this.gossip = new Gossip(out, site, now);
        this.site = site;
        this.layAt = now;
    }

    boolean has(Upstream u) {
        return codes.containsKey(u);
    }

    int size() {
        return codes.size();
    }

    Upstream at(int code) {
        return code < 0 ? null : byCode[code];
    }

    void tell(Gossip.Word word, Upstream u, int tenant) {
        if (has(u)) {
            gossip.tell(word, codes.get(u), tenant);
        }
    }

    // ---- Which part ---------------------------------------------------------------------------------------

    void listed(List<Upstream> roster, double now) {
        List<Upstream> is = roster.stream().filter(u -> u.ready).toList();
        layAt = is.equals(ready) ? layAt : now;
        ready = is;
        turn(now);
    }

    /** Lays the sidecars over the parts anew where something has changed. */
    void turn(double now) {
        if (gossip.changed()) {
            double next = gossip.fewKnown() ? now : laidAt + LAY_EVERY;
            layAt = Math.min(layAt, Math.max(now + LAY_AFTER, next));
        }
        if (now >= layAt && !ready.isEmpty()) {
            layAt = Double.POSITIVE_INFINITY;
            laidAt = now;
            lay(now);
        }
        gossip.turn(now);
    }

    /** When to be called again without any other event. */
    double nextAt() {
        return ready.isEmpty() ? Double.POSITIVE_INFINITY : Math.min(layAt, gossip.nextAt());
    }

    private void lay(double now) {
        char zone = Gossip.sign((site.zone() == null ? ready.get(0).listed.zone() : site.zone()).value());
        gossip.members().computeIfAbsent(site.me(), k -> new Gossip.Member(zone, ""));
        Piece mine = place(cut(), zone);
        gossip.keepTo(zone, mine.name(), now);
        codes.clear();
        Arrays.fill(byCode, null);
        for (Upstream u : mine.upstreams()) {
            int at = Math.floorMod(Long.hashCode(u.id.value() * 0x9E3779B97F4A7C15L), Gossip.CODES);
            while (byCode[at] != null) {
                at = (at + 1) % Gossip.CODES;
            }
            byCode[at] = u;
            codes.put(u, at);
        }
    }

    /** By group, as numbered copies stay in one; a group that too many would share is cut in equal parts. */
    private List<Piece> cut() {
        TreeMap<Long, List<Upstream>> groups = new TreeMap<>();
        ready.forEach(u -> groups.computeIfAbsent(u.listed.cell().value(), k -> new ArrayList<>()).add(u));
        List<Piece> pieces = new ArrayList<>();
        groups.forEach((cell, group) -> {
            group.sort(Comparator.comparingDouble((Upstream u) -> -u.size).thenComparing(u -> u.id.value()));
            double sharing = site.sidecars() * size(group) / size(ready);
            int n = (int) Math.min(Math.ceil(sharing / MOST_SHARERS), group.size() / FEWEST);
            n = Math.max(Math.max(1, n), (group.size() + Gossip.CODES - 1) / Gossip.CODES);
            for (int i = 0; i < n; i++) {
                List<Upstream> part = new ArrayList<>();
                for (int j = i; j < group.size(); j += n) {
                    part.add(group.get(j));
                }
                char zone = Gossip.sign(group.get(0).listed.zone().value());
                pieces.add(new Piece(cell + "." + i, zone, part, size(part)));
            }
        });
        return pieces;
    }

    private static double size(List<Upstream> upstreams) {
        return upstreams.stream().mapToDouble(u -> u.size).sum();
    }

    /**
     * As many of a zone's sidecars as its upstreams have room for stay, in one order that all know; the rest
     * go where room is left. Whoever knows too few of the others stays.
     */
    private Piece place(List<Piece> pieces, char zone) {
        Map<Integer, Gossip.Member> members = gossip.members();
        Map<Character, Double> room = new TreeMap<>();
        pieces.forEach(p -> room.merge(p.zone(), members.size() * p.size() / size(ready), Double::sum));
        Map<Character, Integer> count = new TreeMap<>();
        int rank = 0;
        for (Map.Entry<Integer, Gossip.Member> m : members.entrySet()) {
            int before = count.merge(m.getValue().zone(), 1, Integer::sum) - 1;
            rank = m.getKey() == site.me() ? before : rank;
        }
        double here = Math.floor(room.getOrDefault(zone, 0.0));
        if (room.containsKey(zone) && (gossip.fewKnown() || rank < here)) {
            double among = Math.min(here, count.get(zone));
            return at(pieces, zone, gossip.fewKnown() ? Gossip.lot(site.me()) : (rank + 0.5) / among);
        }
        double away = 0;
        double ours = 0;
        for (char each : count.keySet()) {
            ours = each == zone ? away + rank - here + 0.5 : ours;
            away += Math.max(0, count.get(each) - Math.floor(room.getOrDefault(each, 0.0)));
        }
        room.replaceAll((each, all) -> Math.max(LEAST_ROOM, all - count.getOrDefault(each, 0)));
        double to = ours / away * room.values().stream().mapToDouble(each -> each).sum();
        for (Map.Entry<Character, Double> each : room.entrySet()) {
            if (to < each.getValue()) {
                return at(pieces, each.getKey(), to / each.getValue());
            }
            to -= each.getValue();
        }
        return pieces.get(0);
    }

    private static Piece at(List<Piece> pieces, char zone, double share) {
        List<Piece> here = pieces.stream().filter(p -> p.zone() == zone).toList();
        double left = share * here.stream().mapToDouble(Piece::size).sum();
        for (Piece p : here) {
            left -= p.size();
            if (left < 0) {
                return p;
            }
        }
        return here.get(here.size() - 1);
    }

    // ---- Connections that were dropped unseen -------------------------------------------------------------

    boolean reaping(double now) {
        return now < reapUntil;
    }

    /** Whether a connection that was last heard of so long ago is better not used. */
    boolean tooOld(double rested, double now) {
        return reaping(now) && rested > lost.secondLeast() * REAP_SPARE;
    }

    /** What went out on a connection that had rested so long was lost; the first word of it goes to all. */
    void lost(double rested, double now, boolean ours) {
        boolean first = !reaping(now);
        if (first) {
            lost.clear();
        }
        boolean news = lost.kept() < 2 || rested < lost.secondLeast() || now > reapToldAt + TOLD_EVERY;
        lost.add(rested);
        reapUntil = now + REAPED_FOR;
        if (ours && news) {
            reapToldAt = now;
            gossip.tellLost(rested, first);
        }
    }
}
