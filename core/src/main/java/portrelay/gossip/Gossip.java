package portrelay.gossip;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import portrelay.model.Effects;
import portrelay.model.Site;

/**
 * What sidecars say to each other, and who is where: each tells all its zone and the part it keeps to, and
 * those of the same part each start and end of an execution. Promises the order of the members to be the same
 * at all sidecars that know the same ones. Decides nothing; what is torn, foreign or from nobody changes
 * nothing. A message is a character or two: sidecars are charged for each.
 */
public final class Gossip {

    /** How many upstreams of a part can be told apart. */
    public static final int CODES = 23;

    /** What is said of an execution; LOST is said of a rested connection. */
    public enum Word { BEGUN, HANDLED, FAILED, DROPPED, LOST }

    /** Code is the upstream's within the part, tenant -1 for none, seconds at rest for LOST alone. */
    public record News(Word word, int code, int tenant, double rested) { }

    public record Member(char zone, String home) { }

    private static final int OF_EXECUTIONS = Word.LOST.ordinal();
    private static final char FIRST_CODE = '!';
    private static final int ZONE_CODES = 90;
    private static final char OF_THE_PART = '~';
    private static final char HELLO = 'h';
    private static final char HELLO_WHO_ELSE = 'H';
    private static final char LOST = 'r';
    private static final double HELLO_EVERY = 20;
    /** Sidecars that start together answer nobody: all of them say hello by themselves. */
    private static final double YOUNG = 1;
    private static final double DEAF = 0.5;
    private static final int AGE_CODES = 89;
    private static final int AGE_OF_ONE = 45;
    private static final double AGE_STEPS = 10;

    private final Effects out;
    private final Site site;
    private final double startedAt;
    private final TreeMap<Integer, Member> members = new TreeMap<>(Comparator.comparing(Gossip::lot));
    private final List<Integer> sharers = new ArrayList<>();
    private double helloAt;
    private double heardAt;
    private boolean changed;

    public Gossip(Effects out, Site site, double now) {
        this.out = out;
        this.site = site;
        this.startedAt = now;
        this.helloAt = now;
        this.heardAt = now;
    }

    /** Spreads numbers evenly over 0 to 1, the same way for all sidecars. */
    public static double lot(int number) {
        int x = (number + 1) * 0x9E3779B9;
        x = (x ^ x >>> 15) * 0x85EBCA6B;
        return ((x ^ x >>> 13) >>> 1) / (double) Integer.MAX_VALUE;
    }

    /** A zone's sign in messages, from its number alone. */
    public static char sign(int zone) {
        return (char) (FIRST_CODE + Math.floorMod(zone, ZONE_CODES));
    }

    // ---- Who is where -------------------------------------------------------------------------------------

    /** From now on we keep to this part; said to all with the next {@code turn} where it is news. */
    public void keepTo(char zone, String home, double now) {
        Member was = members.put(site.me(), new Member(zone, home));
        helloAt = was == null || !was.home.equals(home) ? now : helloAt;
        sharers.clear();
        members.forEach((id, m) -> share(id, m));
    }

    private void share(int sidecar, Member m) {
        if (sidecar != site.me() && members.containsKey(site.me()) && m.home.equals(home())) {
            sharers.add(sidecar);
        }
    }

    private String home() {
        return members.get(site.me()).home;
    }

    /** Us among them once we keep to a part. */
    public Map<Integer, Member> members() {
        return members;
    }

    /** Less than half of the sidecars have said a word since our start. */
    public boolean fewKnown() {
        return members.size() * 2 < site.sidecars();
    }

    /** Whether a member came or has another zone since this was last asked. */
    public boolean changed() {
        boolean was = changed;
        changed = false;
        return was;
    }

    /** Says hello where it is time. */
    public void turn(double now) {
        if (now >= helloAt && members.containsKey(site.me())) {
            helloAt = now + HELLO_EVERY * (0.75 + lot(site.me()) / 2);
            out.tellAll(hello(fewKnown() ? HELLO_WHO_ELSE : HELLO));
        }
    }

    /** When {@code turn} is to be called at the latest. */
    public double nextAt() {
        return members.containsKey(site.me()) ? helloAt : Double.POSITIVE_INFINITY;
    }

    private String hello(char word) {
        return "" + OF_THE_PART + word + members.get(site.me()).zone + home();
    }

    // ---- What is said -------------------------------------------------------------------------------------

    /** To those of our part. */
    public void tell(Word word, int code, int tenant) {
        char said = (char) (FIRST_CODE + word.ordinal() * CODES + code);
        tellSharers(word == Word.BEGUN ? "" + said + (char) (FIRST_CODE + tenant + 1) : "" + said);
    }

    /** What went out on a connection that had rested so long, in seconds, was lost; to all or to our part. */
    public void tellLost(double rested, boolean toAll) {
        long step = Math.max(0, Math.min(AGE_CODES, Math.round(Math.log(rested) * AGE_STEPS) + AGE_OF_ONE));
        String text = "" + OF_THE_PART + LOST + (char) (FIRST_CODE + step);
        if (toAll) {
            out.tellAll(text);
        } else {
            tellSharers(text);
        }
    }

    private void tellSharers(String text) {
        for (int each : sharers) {
            out.tell(each, text);
        }
    }

    /** Nobody of those who share our part has said a word for long: what they have in flight is not known. */
    public boolean deaf(double now) {
        return !sharers.isEmpty() && now > heardAt + DEAF;
    }

    /** Null for what is no news of an execution or a connection. */
    public News heard(int from, String text, double now) {
        heardAt = now;
        if (text.length() >= 3 && text.charAt(0) == OF_THE_PART) {
            if (text.charAt(1) == LOST) {
                double step = text.charAt(2) - FIRST_CODE - AGE_OF_ONE;
                return new News(Word.LOST, -1, -1, Math.exp(step / AGE_STEPS));
            }
            helloFrom(from, text, now);
            return null;
        }
        int code = text.isEmpty() ? -1 : text.charAt(0) - FIRST_CODE;
        if (code < 0 || code >= CODES * OF_EXECUTIONS) {
            return null;
        }
        int tenant = text.length() > 1 ? text.charAt(1) - FIRST_CODE - 1 : -1;
        return new News(Word.values()[code / CODES], code % CODES, tenant, 0);
    }

    private void helloFrom(int from, String text, double now) {
        char word = text.charAt(1);
        if (from < 0 || from >= site.sidecars() || from == site.me() || word != HELLO && word != HELLO_WHO_ELSE) {
            return;
        }
        if (word == HELLO_WHO_ELSE && now > startedAt + YOUNG && members.containsKey(site.me())) {
            out.tell(from, hello(HELLO));
        }
        Member is = new Member(text.charAt(2), text.substring(3));
        Member was = members.put(from, is);
        if (!is.equals(was)) {
            changed |= was == null || was.zone != is.zone;
            sharers.remove((Integer) from);
            share(from, is);
        }
    }
}
