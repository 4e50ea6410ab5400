package portrelay.drill;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import portrelay.Decide;
import portrelay.model.ColdRule;
import portrelay.model.Effects;
import portrelay.model.ListRule;
import portrelay.model.Offering;
import portrelay.model.OfferingId;
import portrelay.model.Permits;
import portrelay.model.Tenant;
import portrelay.model.TenantId;

/** An instance's settings as the wire words them, and the small records that the decisions take. */
final class BootInfo {

    private final Map<?, ?> root;
    private final long line;
    final Map<String, OfferingId> offerings = new HashMap<>();
    final Map<String, TenantId> tenants = new HashMap<>();

    BootInfo(Object tree, long line) throws BadWire {
        if (!(tree instanceof Map<?, ?> map)) {
            throw new BadWire(line, "boot-info as an object");
        }
        this.root = map;
        this.line = line;
    }

    Decide start(Effects effects, long seed) throws BadWire {
        List<Offering> offered = new ArrayList<>();
        for (Map<?, ?> each : rows("classes")) {
            OfferingId id = new OfferingId(offered.size());
            offerings.put(text(each, "name"), id);
            offered.add(new Offering(id, repeats(text(each, "effect")), group(text(each, "group")),
                    time(each, "aim-us"), time(each, "hard-limit-us"), time(each, "dedup-window-us"),
                    number(each, "worth", 1), number(each, "late-worth", 0), flag(each, "streaming")));
        }
        List<Tenant> shares = new ArrayList<>();
        for (Map<?, ?> each : rows("tenants")) {
            TenantId id = new TenantId(shares.size());
            tenants.put(text(each, "name"), id);
            shares.add(new Tenant(id, number(each, "share", 0), number(each, "quota-per-s", 0)));
        }
        Map<?, ?> allowed = section("allowed");
        Map<?, ?> rules = section("invariants");
        Permits permits = new Permits((int) number(allowed, "max-attempts", 1), flag(allowed, "cancel"),
                flag(allowed, "parallel-tries"), flag(allowed, "probes"),
                flag(allowed, "retry-after") ? time(allowed, "max-retry-after-us") : 0);
        ColdRule cold = new ColdRule(number(rules, "cold-share", 1), time(rules, "cold-us"),
                number(rules, "overload-factor", 1), time(rules, "tip-after-us"));
        ListRule list = new ListRule("on_request".equals(root.get("discovery")), time(rules, "ask-within-us"));
        boolean warmKeys = root.get("family-info") instanceof Map<?, ?> info && flag(info, "warm-keys");
        boolean sized = !"silent".equals(root.get("weights"));
        int sidecars = (int) number(root, "siblings", 1);
        return new Decide(effects, seed, offered, shares, permits, cold, list, sidecars, sized, warmKeys,
                "work".equals(root.get("value-by")));
    }

    private Offering.Repeats repeats(String word) throws BadWire {
        return switch (word) {
            case "read_like" -> Offering.Repeats.REISSUABLE;
            case "idempotency_key" -> Offering.Repeats.NUMBERED;
            case "non_idempotent" -> Offering.Repeats.AT_MOST_ONCE;
            default -> throw new BadWire(line, "effect read_like, idempotency_key or non_idempotent");
        };
    }

    private Offering.Group group(String word) throws BadWire {
        return switch (word) {
            case "all" -> Offering.Group.ALL;
            case "zone" -> Offering.Group.ZONE;
            case "cell" -> Offering.Group.CELL;
            default -> throw new BadWire(line, "group all, zone or cell");
        };
    }

    private Map<?, ?> section(String name) throws BadWire {
        if (root.get(name) instanceof Map<?, ?> map) {
            return map;
        }
        throw new BadWire(line, name + " in boot-info as an object");
    }

    private List<Map<?, ?>> rows(String name) throws BadWire {
        List<Map<?, ?>> rows = new ArrayList<>();
        Object value = root.get(name);
        if (value == null) {
            return rows;
        }
        if (!(value instanceof List<?> list)) {
            throw new BadWire(line, name + " in boot-info as an array");
        }
        for (Object each : list) {
            if (!(each instanceof Map<?, ?> map)) {
                throw new BadWire(line, "entries of " + name + " as objects");
            }
            rows.add(map);
        }
        return rows;
    }

    private String text(Map<?, ?> map, String name) throws BadWire {
        if (map.get(name) instanceof String text) {
            return text;
        }
        throw new BadWire(line, name + " in boot-info as a string");
    }

    private double number(Map<?, ?> map, String name, double absent) throws BadWire {
        Object value = map.get(name);
        if (value == null) {
            return absent;
        }
        if (value instanceof Double number) {
            return number;
        }
        throw new BadWire(line, name + " in boot-info as a number");
    }

    private double time(Map<?, ?> map, String name) throws BadWire {
        return number(map, name, 0) / 1e6;
    }

    private boolean flag(Map<?, ?> map, String name) {
        return Boolean.TRUE.equals(map.get(name));
    }
}
