package portrelay.policy;

import java.util.*;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import portrelay.gossip.Gossip;
import portrelay.model.*;

/**
 * The part of the roster that this sidecar keeps to. Those that share upstreams tell each other of executions: a
 * quiet sidecar then knows what is in flight there, meets them often enough to judge them, and needs few
 * connections. Parts are cut from the list and from zones that were told, or drawn; nobody decides for others.
 */
final class Part {
    private record Piece(char zone, List<Upstream> upstreams, double size) { }

    private static final int MOST_SHARERS = 14;
    private static final int LEAST_OWN = 6;
    private static final int FEWEST = 2;
    private static final double LAY_AFTER = 0.05;
    private static final double LAY_EVERY = 1;
    private static final double LEAST_ROOM = 0.01;
    static final double DEAF = 0.5;
    private static final int LOST_SAMPLES = 8;
    private static final double DROPPED_FOR = 20;
    private static final double AGE_SPARE = 0.95;
    private static final double TOLD_EVERY = 1;
    final Gossip gossip;
    private final Site site;
    List<Upstream> upstreams = List.of();
    Set<Upstream> ours = Set.of();
    private List<Upstream> ready = List.of();
    /** How long those connections had rested that lost a query. */
    private final Samples lost = new Samples(LOST_SAMPLES);
    private double lostUntil = Double.NEGATIVE_INFINITY;
    private double lostToldAt = Double.NEGATIVE_INFINITY;
    private double sized;
    private double layAt;
    private boolean laidBlind;
    private double laidAt = Double.NEGATIVE_INFINITY;

    Part(Effects out, Site site, double now) {
        this.gossip = new Gossip(out, site, now);
        this.site = site;
        this.layAt = now;
    }

    /** By lot, the same for all whatever their lists. Sets overlap: what is too much for one spreads over all. */
    private List<Integer> sharers(Upstream u) {
        if (u.sharers == null) {
            int most = Math.max(MOST_SHARERS, LEAST_OWN * site.sidecars() / Math.max(1, ready.size()));
            u.sharers = IntStream.range(0, site.sidecars()).boxed()
                    .sorted(Comparator.comparingDouble(i -> Gossip.lot(Long.hashCode(u.id.value()) + i)))
                    .limit(most).toList();
        }
        return u.sharers;
    }

    Upstream at(int code) {
        if (site.byLot()) {
            return upstreams.stream().filter(u -> Gossip.codeOf(u.id) == code).findFirst().orElse(null);
        }
        return code < 0 || code >= upstreams.size() ? null : upstreams.get(code);
    }

    void tell(Gossip.Word word, Upstream u, int tenant, double took) {
        if (site.byLot()) {
            gossip.tell(word, Gossip.codeOf(u.id), took, sharers(u));
        } else if (ours.contains(u)) {
            gossip.tell(word, upstreams.indexOf(u), tenant);
        }
    }

    void listed(List<Upstream> roster, double now) {
        List<Upstream> is = roster.stream().filter(u -> u.ready).toList();
        // Sizes show by and by where weights move with load.
        layAt = is.equals(ready) && size(is) == sized ? layAt : now;
        ready = is;
        sized = size(is);
        turn(now);
    }

    /** Lays the sidecars over the parts anew where something has changed. */
    void turn(double now) {
        if (gossip.changed()) {
            layAt = Math.min(layAt, Math.max(now + LAY_AFTER, laidAt + (laidBlind ? 0 : LAY_EVERY)));
        }
        if (now >= layAt && !ready.isEmpty()) {
            layAt = Double.POSITIVE_INFINITY;
            laidAt = now;
            laidBlind = gossip.fewKnown();
            lay();
            ours = new HashSet<>(upstreams);
        }
        gossip.turn(now);
    }

    /** When to be called again without any other event. */
    double nextAt() {
        return ready.isEmpty() ? Double.POSITIVE_INFINITY : Math.min(layAt, gossip.nextAt());
    }

    private void lay() {
        if (site.byLot()) {
            List<Upstream> mine = ready.stream().filter(u -> sharers(u).contains(site.me())).toList();
            upstreams = mine.isEmpty() ? ready : mine;
            return;
        }
        List<Piece> pieces = cut();
        Map<Integer, Piece> homes = place(pieces);
        Piece mine = homes.getOrDefault(site.me(), pieces.get(0));
        homes.remove(site.me());
        gossip.sharers(homes.keySet().stream().filter(each -> homes.get(each) == mine).toList());
        upstreams = mine.upstreams();
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
                pieces.add(new Piece(zone, part, size(part)));
            }
        });
        return pieces;
    }

    private static double size(List<Upstream> upstreams) {
        return upstreams.stream().mapToDouble(u -> u.size).sum();
    }

    /** As many stay in a zone as it has room for, in an order that all know, all while few are known. */
    private Map<Integer, Piece> place(List<Piece> pieces) {
        Map<Integer, Character> members = gossip.members();
        Map<Character, Double> room = new TreeMap<>();
        pieces.forEach(p -> room.merge(p.zone(), members.size() * p.size() / size(ready), Double::sum));
        Map<Character, Integer> count = new TreeMap<>();
        members.values().forEach(zone -> count.merge(zone, 1, Integer::sum));
        Map<Character, Integer> ranks = new HashMap<>();
        Map<Integer, Piece> homes = new LinkedHashMap<>();
        List<Integer> away = new ArrayList<>();
        members.forEach((id, zone) -> {
            int rank = ranks.merge(zone, 1, Integer::sum) - 1;
            double stay = Math.min(Math.floor(room.getOrDefault(zone, 0.0)), count.get(zone));
            if (room.containsKey(zone) && (gossip.fewKnown() || rank < stay)) {
                double share = gossip.fewKnown() ? Gossip.lot(id) : (rank + 0.5) / stay;
                homes.put(id, at(pieces, share, p -> p.zone() == zone ? p.size() : 0));
            } else {
                away.add(id);
            }
        });
        for (int i = 0; i < away.size(); i++) {
            homes.put(away.get(i), at(pieces, (i + 0.5) / away.size(), p -> p.size() * Math.max(LEAST_ROOM,
                    1 - count.getOrDefault(p.zone(), 0) / room.get(p.zone()))));
        }
        return homes;
    }

    /** Where a share of the pieces' weights, laid end to end, comes to. */
    private static Piece at(List<Piece> pieces, double share, ToDoubleFunction<Piece> weight) {
        double left = share * pieces.stream().mapToDouble(weight).sum();
        for (Piece p : pieces) {
            left -= weight.applyAsDouble(p);
            if (left < 0) {
                return p;
            }
        }
        return pieces.get(pieces.size() - 1);
    }

    /** Whether connections are being dropped unseen these days. */
    boolean dropping(double now) {
        return now < lostUntil;
    }

    /** Whether a connection that rested so long is better not used. */
    boolean tooOld(double rested, double now) {
        return dropping(now) && rested > lost.secondLeast() * AGE_SPARE;
    }

    /** One was lost after so long a rest. A single odd one sets no age: until two are known all are told. */
    void lost(double rested, double now, boolean ours) {
        boolean few = !dropping(now) || lost.kept() < 2;
        if (ours && (few || rested < lost.secondLeast() || now > lostToldAt + TOLD_EVERY)) {
            lostToldAt = now;
            gossip.tellLost(rested, few);
        }
        if (!dropping(now)) {
            lost.clear();
        }
        lost.add(rested);
        lostUntil = now + DROPPED_FOR;
    }
}
