package portrelay.net;

import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import org.xnio.XnioExecutor;
import portrelay.json.Tree;
import portrelay.model.ListNews;
import portrelay.model.Listed;
import portrelay.model.UpstreamId;
import portrelay.settings.BadSetting;
import portrelay.settings.Fields;

/** Follows the list: owns the connection to discovery and the upstreams' actors. Keeps one watch going. */
final class ListActor implements ModuleActor.Watch {

    private static final int EVER_MOST = 4096;
    private static final int LONGEST_LIST = 4 * 1024 * 1024;
    private static final long NO_VERSION = -1;
    private static final double DIAL_WITHIN = 1;
    private static final double WAIT = 20;
    /**
     * On top of the wait. What a silent watch kept from us counts as told 2 s after its wait: of these a new
     * dial may take 1 s, and a discovery that is asked by all at once half a second to answer on it.
     */
    private static final double PATIENCE = 0.5;
    /** For a call that does not wait; what a silent one kept from us counts as told after 6 s. */
    private static final double ANSWER_WITHIN = 1.5;

    private final Loop loop;
    private final Log log;
    private final Mailbox mailbox;
    private final Dialer dialer;
    private InetSocketAddress discovery;
    private final ModuleActor module;
    private final Function<InetSocketAddress, UpstreamActor> actors;
    private final Map<UpstreamId, UpstreamActor> upstreams = new HashMap<>();
    private long version = NO_VERSION;
    private int calls;
    private boolean watching;
    private boolean failing;
    /** Ids that were ever listed, the latest last; a long day's ever new ids must not grow it. */
    private final Set<UpstreamId> ever = new LinkedHashSet<>();
    private final Map<UpstreamId, Object> rows = new HashMap<>();
    private BiConsumer<Set<UpstreamId>, Object> to = (ids, list) -> { };
    private Link link;
    private Dialer.Dial dial;
    private XnioExecutor.Key patience;

    ListActor(Loop loop, Log log, Dialer dialer, InetSocketAddress discovery, ModuleActor module,
            Function<InetSocketAddress, UpstreamActor> actors) {
        this.loop = loop;
        this.log = log;
        this.mailbox = new Mailbox(loop, log);
        this.dialer = dialer;
        this.discovery = discovery;
        this.module = module;
        this.actors = actors;
    }

    /** The list as this sidecar last had it. */
    void remembered(Fields known) throws BadSetting {
        tell(ListPage.read(known), ListNews.REMEMBERED);
    }

    @Override
    public void watch() {
        mailbox.post(() -> {
            if (!watching) {
                watching = true;
                call();
            }
        });
    }

    /**
     * Another discovery from here on, and at once. Its versions need not go on where the other's were, so the
     * whole list comes first.
     */
    void move(InetSocketAddress to) {
        mailbox.post(() -> {
            log.info("discovery is at " + Addresses.text(to) + " from now on");
            discovery = to;
            version = NO_VERSION;
            hangUp();
            watching = true;
            call();
        });
    }

    /** Whether the id was ever listed, as far as that is remembered. */
    void everListed(UpstreamId id, Consumer<Boolean> then) {
        mailbox.post(() -> then.accept(ever.contains(id)));
    }

    /** From here on told of ids that were ever listed, and of the list in discovery's form. */
    void tells(BiConsumer<Set<UpstreamId>, Object> to, Set<UpstreamId> known) {
        this.to = to;
        known.forEach(this::remember);
    }

    /** The list as it stands, in discovery's form. */
    Collection<Object> rows() {
        return List.copyOf(rows.values());
    }

    private void remember(UpstreamId id) {
        ever.remove(id);
        ever.add(id);
        if (ever.size() > EVER_MOST) {
            ever.remove(ever.iterator().next());
        }
    }

    private void call() {
        int mine = ++calls;
        // What a call has to tell that may not wait is due at once, so there is less to be patient for.
        boolean waits = version != NO_VERSION;
        patience = loop.after(waits ? WAIT + PATIENCE : ANSWER_WITHIN,
                () -> loop.afterLook(() -> mailbox.post(() -> silent(mine, waits))));
        if (link != null && link.usable()) {
            ask(link);
            return;
        }
        dial = dialer.dial(discovery, DIAL_WITHIN, opened -> mailbox.post(() -> {
            if (mine != calls || !watching) {
                opened.close();
                return;
            }
            dial = null;
            link = opened;
            ask(opened);
        }), () -> mailbox.post(() -> failed(mine)));
    }

    private void ask(Link to) {
        String target = version == NO_VERSION ? Names.LIST
                : Names.LIST + "?" + Names.AFTER + "=" + version + "&"
                        + Names.WAIT_MS + "=" + (long) (WAIT * 1e3);
        Call call = Call.of(Methods.GET, target, Call.NO_BODY);
        call.headers().put(Headers.HOST, Addresses.text(discovery));
        to.call(call, LONGEST_LIST, result -> mailbox.post(() -> answered(to, result)));
    }

    private void answered(Link from, Result result) {
        if (from != link || !watching) {
            return;
        }
        if (result.status() != 200) {
            failed(calls);
            return;
        }
        patience.remove();
        try {
            ListPage page = ListPage.read(Fields.of(Tree.parse(result.body()), ""));
            if (!page.whole() && page.version() < version) {
                // Changes up to an older list than ours would undo what came since, as that one drains.
                log.warn("discovery went back from list " + version + " to " + page.version());
                version = NO_VERSION;
                call();
                return;
            }
            tell(page, page.whole() ? ListNews.WHOLE : ListNews.CHANGES);
        } catch (IOException | BadSetting e) {
            log.warn("discovery sent no list: " + e.getMessage().lines().findFirst().orElse(""));
            failed(calls);
            return;
        }
        if (failing) {
            failing = false;
            log.info("discovery answers again");
        }
        call();
    }

    private void hangUp() {
        if (patience != null) {
            patience.remove();
        }
        if (dial != null) {
            dial.giveUp();
            dial = null;
        }
        if (link != null) {
            link.close();
            link = null;
        }
    }

    /**
     * A watch that has fallen silent is opened anew at once, as its time to tell us is nearly over: the
     * module's wait before the next try is for a discovery that said no. The new one has to wait as long
     * before this can come again.
     */
    private void silent(int call, boolean waited) {
        if (!watching || call != calls) {
            return;
        }
        if (!waited) {
            failed(call);
            return;
        }
        log.warn("a watch fell silent: opened anew");
        hangUp();
        call();
    }

    /** Says of which call: one that was given up may still have this on its way. */
    private void failed(int call) {
        if (!watching || call != calls) {
            return;
        }
        watching = false;
        hangUp();
        if (!failing) {
            failing = true;
            log.warn("discovery does not answer");
        }
        module.list(ListNews.FAILED, List.of(), Map.of(), Set.of());
    }

    private static long count(List<Listed> rows, Listed.Health health) {
        return rows.stream().filter(each -> each.health() == health).count();
    }

    private void tell(ListPage page, ListNews news) {
        version = page.version();
        List<Listed> rows = new ArrayList<>();
        Map<UpstreamId, UpstreamActor> added = new HashMap<>();
        // A whole list says of those that it does not have that they are gone.
        Set<UpstreamId> gone = news == ListNews.CHANGES ? new HashSet<>() : new HashSet<>(upstreams.keySet());
        for (ListPage.Row row : page.rows()) {
            UpstreamId id = row.listed().id();
            UpstreamActor known = upstreams.get(id);
            remember(id);
            if (row.address() == null) {
                if (known != null) {
                    gone.add(id);
                    rows.add(row.listed());
                }
                continue;
            }
            gone.remove(id);
            if (known == null) {
                known = actors.apply(row.address());
                upstreams.put(id, known);
                added.put(id, known);
            }
            known.listed(row.address(), row.listed().health() == Listed.Health.DRAINING);
            rows.add(row.listed());
            this.rows.put(id, row.tree());
        }
        if (!rows.isEmpty() || !gone.isEmpty()) {
            log.info("list " + version + ", " + news + ": " + count(rows, Listed.Health.READY) + " ready, "
                    + count(rows, Listed.Health.DRAINING) + " draining, "
                    + gone.size() + " gone");
        }
        for (UpstreamId id : gone) {
            upstreams.remove(id).close();
        }
        this.rows.keySet().retainAll(upstreams.keySet());
        if (!rows.isEmpty() || !gone.isEmpty()) {
            to.accept(new LinkedHashSet<>(ever), Map.of(Names.VERSION, (double) version, Names.WHOLE, true,
                    Names.ROWS, rows()));
        }
        module.list(news, rows, added, gone);
    }
}
