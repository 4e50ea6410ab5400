package portrelay.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import portrelay.model.Effects;
import portrelay.model.Site;
import portrelay.model.ZoneId;

/**
 * The part of the roster that this sidecar keeps to, and what those that keep to the same part tell each
 * other: each execution's start and end. A quiet sidecar then knows what is in flight at its upstreams, meets
 * them often enough to judge them, and needs few connections. Parts are cut from the list alone, sidecars are
 * laid over them by what all have said of their zones; nobody decides for others.
 */
final class Part {

    /** What a told message says of an execution at one of the part's upstreams. */
    enum Word { BEGUN, HANDLED, FAILED, DROPPED }

    /** What a message was about; a null word for what concerns the part or nothing. */
    record News(Word word, Upstream at, int tenant) { }

    private record Piece(String name, ZoneId zone, List<Upstream> upstreams, double size) { }

    private record Member(char zone, String home) { }

    private static final int MOST_SHARERS = 14;
    private static final int FEWEST = 2;
    private static final double FIRST_LAYING = 0.1;
    private static final double NEXT_LAYING = 1;
    private static final double HELLO_EVERY = 20;
    private static final double OLD = 1;
    private static final double DEAF = 0.5;
    private static final char FIRST_CODE = '!';
    private static final int CODES = 23;
    private static final int ZONE_CODES = 90;
    private static final char OF_THE_PART = '~';
    private static final double REAPED_FOR = 20;
    private static final double REAP_SPARE = 0.85;
    private static final double AGE_STEP = 0.03;

    private final Effects out;
    private final Site site;
    private final double lot;
    private final double startedAt;
    private final TreeMap<Integer, Member> members = new TreeMap<>(Comparator.comparing(Part::order));
    private final Map<Upstream, Integer> codes = new HashMap<>();
    private final Upstream[] byCode = new Upstream[CODES];
    private final List<Integer> sharers = new ArrayList<>();
    private List<Upstream> ready = List.of();
    private String home = "";
    private double layAt;
    private double heardAt;
    private double helloAt;
    private double reapAge = Double.POSITIVE_INFINITY;
    private double reapUntil = Double.NEGATIVE_INFINITY;
    private double reapToldAt = Double.NEGATIVE_INFINITY;

    Part(Effects out, Site site, double now) {
        this.out = out;
        this.site = site;
        this.startedAt = now;
        this.layAt = now;
        this.helloAt = now;
        this.lot = (order(site.me()) >>> 1) / (double) Integer.MAX_VALUE;
    }

    /** Spreads the sidecars' numbers evenly, the same way for all of them. */
    private static int order(int sidecar) {
        int x = (sidecar + 1) * 0x9E3779B9;
        x = (x ^ x >>> 15) * 0x85EBCA6B;
        return x ^ x >>> 13;
    }

    private static char code(ZoneId zone) {
        return (char) (FIRST_CODE + Math.floorMod(zone.value(), ZONE_CODES));
    }

    boolean has(Upstream u) {
        return codes.containsKey(u);
    }

    int size() {
        return codes.size();
    }

    // ---- Which part ---------------------------------------------------------------------------------------

    void listed(List<Upstream> roster, double now) {
        List<Upstream> is = roster.stream().filter(u -> u.ready).toList();
        if (!is.equals(ready)) {
            ready = is;
            layAt = Math.min(layAt, now);
        }
        look(now);
    }

    /** Lays the sidecars over the parts anew where something has changed, and says hello in time. */
    void look(double now) {
        if (now >= layAt && !ready.isEmpty()) {
            layAt = Double.POSITIVE_INFINITY;
            lay(now);
        }
        if (now >= helloAt && !home.isEmpty()) {
            hello(now, now - startedAt < HELLO_EVERY / 2 ? 'H' : 'h');
        }
    }

    /** When to be called again without any other event. */
    double nextAt() {
        return ready.isEmpty() ? Double.POSITIVE_INFINITY : Math.min(layAt, helloAt);
    }

    private void hello(double now, char word) {
        helloAt = now + HELLO_EVERY * (0.75 + lot / 2);
        out.tellAll("" + OF_THE_PART + word + code(zone()) + home);
    }

    private ZoneId zone() {
        return site.zone() == null ? ready.get(0).listed.zone() : site.zone();
    }

    private void lay(double now) {
        List<Piece> pieces = cut();
        members.put(site.me(), new Member(code(zone()), home));
        Piece mine = place(pieces);
        if (!mine.name().equals(home)) {
            home = mine.name();
            helloAt = now;
        }
        codes.clear();
        java.util.Arrays.fill(byCode, null);
        for (Upstream u : mine.upstreams()) {
            int at = Math.floorMod(Long.hashCode(u.id.value() * 0x9E3779B97F4A7C15L), CODES);
            while (byCode[at] != null) {
                at = (at + 1) % CODES;
            }
            byCode[at] = u;
            codes.put(u, at);
        }
        members.put(site.me(), new Member(code(zone()), home));
        sharers.clear();
        members.forEach((id, m) -> {
            if (id != site.me() && m.home.equals(home)) {
                sharers.add(id);
            }
        });
    }

    /** By group, as numbered copies stay in one; a group that too many would share is cut in equal parts. */
    private List<Piece> cut() {
        double all = size(ready);
        TreeMap<Long, List<Upstream>> groups = new TreeMap<>();
        ready.forEach(u -> groups.computeIfAbsent(u.listed.cell().value(), k -> new ArrayList<>()).add(u));
        List<Piece> pieces = new ArrayList<>();
        groups.forEach((cell, group) -> {
            group.sort(Comparator.comparingDouble((Upstream u) -> -u.size).thenComparing(u -> u.id.value()));
            double sharing = site.sidecars() * size(group) / all;
            int n = (int) Math.min(Math.ceil(sharing / MOST_SHARERS), group.size() / FEWEST);
            n = Math.max(Math.max(1, n), (group.size() + CODES - 1) / CODES);
            for (int i = 0; i < n; i++) {
                List<Upstream> part = new ArrayList<>();
                for (int j = i; j < group.size(); j += n) {
                    part.add(group.get(j));
                }
                pieces.add(new Piece(cell + "." + i, group.get(0).listed.zone(), part, size(part)));
            }
        });
        return pieces;
    }

    private static double size(List<Upstream> upstreams) {
        return upstreams.stream().mapToDouble(u -> u.size).sum();
    }

    /**
     * Each zone's sidecars in one order: as many as its upstreams have room for stay, the rest go where room
     * is left. Whoever knows too few of the others stays at home.
     */
    private Piece place(List<Piece> pieces) {
        Map<Character, Double> room = new TreeMap<>();
        double all = size(ready);
        pieces.forEach(p -> room.merge(code(p.zone()), members.size() * p.size() / all, Double::sum));
        char mine = code(zone());
        Map<Character, Integer> count = new TreeMap<>();
        int rank = 0;
        for (Map.Entry<Integer, Member> m : members.entrySet()) {
            int before = count.merge(m.getValue().zone, 1, Integer::sum) - 1;
            rank = m.getKey() == site.me() ? before : rank;
        }
        double home = Math.floor(room.getOrDefault(mine, 0.0));
        boolean stays = members.size() * 2 < site.sidecars() ? room.containsKey(mine) : rank < home;
        if (stays) {
            double among = Math.max(1, Math.min(home, count.get(mine)));
            return at(pieces, mine, members.size() * 2 < site.sidecars() ? lot : (rank + 0.5) / among);
        }
        double away = 0;
        double mineAt = 0;
        for (char zone : count.keySet()) {
            double over = Math.max(0, count.get(zone) - Math.floor(room.getOrDefault(zone, 0.0)));
            mineAt = zone == mine ? away + rank - home + 0.5 : mineAt;
            away += over;
        }
        double free = 0;
        for (char zone : room.keySet()) {
            free += Math.max(0, room.get(zone) - count.getOrDefault(zone, 0));
        }
        double to = Math.min(1, mineAt / Math.max(1, away)) * free;
        for (char zone : room.keySet()) {
            double part = Math.max(0, room.get(zone) - count.getOrDefault(zone, 0));
            if (part > 0 && to <= part) {
                return at(pieces, zone, to / part);
            }
            to -= part;
        }
        return at(pieces, pieces.get(0).zone() == null ? mine : code(pieces.get(0).zone()), lot);
    }

    private static Piece at(List<Piece> pieces, char zone, double share) {
        List<Piece> here = pieces.stream().filter(p -> code(p.zone()) == zone).toList();
        double left = share * here.stream().mapToDouble(Piece::size).sum();
        for (Piece p : here) {
            left -= p.size();
            if (left < 0) {
                return p;
            }
        }
        return here.get(here.size() - 1);
    }

    // ---- What is told -------------------------------------------------------------------------------------

    void tell(Word word, Upstream u, int tenant) {
        Integer code = codes.get(u);
        if (code != null) {
            char said = (char) (FIRST_CODE + word.ordinal() * CODES + code);
            String text = word == Word.BEGUN ? "" + said + (char) (FIRST_CODE + tenant + 1) : "" + said;
            sharers.forEach(each -> out.tell(each, text));
        }
    }

    /** Nobody of many has said a word for long: what they have in flight is not known. */
    boolean deaf(double now) {
        return !sharers.isEmpty() && now > heardAt + DEAF;
    }

    /** Null for what is no news of an execution; what is torn or foreign changes nothing. */
    News heard(int from, String text, double now) {
        heardAt = now;
        if (text.length() >= 3 && text.charAt(0) == OF_THE_PART) {
            heardOfPart(from, text, now);
            return null;
        }
        int code = text.isEmpty() ? -1 : text.charAt(0) - FIRST_CODE;
        if (code < 0 || code >= CODES * Word.values().length || byCode[code % CODES] == null) {
            return null;
        }
        Word word = Word.values()[code / CODES];
        return new News(word, byCode[code % CODES], text.length() > 1 ? text.charAt(1) - FIRST_CODE - 1 : -1);
    }

    private void heardOfPart(int from, String text, double now) {
        if (text.charAt(1) == 'r') {
            reaped(Math.exp((text.charAt(2) - FIRST_CODE - 45) * 0.1), now, false);
            return;
        }
        Member is = new Member(text.charAt(2), text.substring(3));
        Member was = members.put(from, is);
        if (text.charAt(1) == 'H' && now - startedAt > OLD) {
            out.tell(from, "" + OF_THE_PART + 'h' + code(zone()) + home);
        }
        if (!is.equals(was)) {
            sharers.remove((Integer) from);
            if (is.home.equals(home)) {
                sharers.add(from);
            }
            layAt = Math.min(layAt, Math.max(now + FIRST_LAYING, startedAt + FIRST_LAYING)
                    + (now - startedAt > OLD ? NEXT_LAYING : 0));
        }
    }

    // ---- Connections that were dropped unseen ---------------------------------------------------------------

    boolean reaping(double now) {
        return now < reapUntil;
    }

    /** Whether a connection that was last heard of so long ago is better not used. */
    boolean tooOld(double idle, double now) {
        return now < reapUntil && idle > reapAge;
    }

    /** What went out on a connection that had rested so long was lost. */
    void reaped(double idle, double now, boolean own) {
        boolean fresh = now >= reapUntil;
        double age = idle * REAP_SPARE;
        boolean news = fresh || age < reapAge;
        reapAge = fresh ? age : Math.min(age, reapAge);
        reapUntil = now + REAPED_FOR;
        if (own && (news || now > reapToldAt + OLD)) {
            reapToldAt = now;
            int step = Math.max(0, Math.min(89, (int) Math.round(Math.log(Math.max(AGE_STEP, idle)) * 10) + 45));
            String text = "" + OF_THE_PART + 'r' + (char) (FIRST_CODE + step);
            if (fresh) {
                out.tellAll(text);
            } else {
                sharers.forEach(each -> out.tell(each, text));
            }
        }
    }
}
