package portrelay.net.discovery;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import portrelay.model.UpstreamId;
import portrelay.net.http.WireNames;

/**
 * The endpoint list at one moment, for the next process of the sidecar. Immutable; shares the text of its rows with the
 * list that is in use.
 */
public final class EndpointListSnapshot {

    private final long version;
    private final List<EndpointListPage.Row> rows;
    private final List<UpstreamId> everListed;

    /**
     * Creates a snapshot.
     *
     * @param rows the rows of all listed upstreams
     * @param everListed the ids that were ever listed, the latest last
     */
    EndpointListSnapshot(long version, List<EndpointListPage.Row> rows, List<UpstreamId> everListed) {
        this.version = version;
        this.rows = rows;
        this.everListed = everListed;
    }

    /** Returns a snapshot of a list that another process had. */
    public static EndpointListSnapshot of(EndpointListPage page, List<UpstreamId> everListed) {
        return new EndpointListSnapshot(page.version(), page.rows(), everListed);
    }

    /** Returns the ids that were ever listed, the latest last. */
    public List<UpstreamId> everListed() {
        return everListed;
    }

    /** Returns the list as a page that contains all endpoints; null if the process had no list. */
    public EndpointListPage page() {
        return version == EndpointListPage.NONE.version() ? null : new EndpointListPage(version, true, rows, 0);
    }

    /**
     * Returns the list in discovery's format as a JSON tree, whose rows are created as they are iterated over; null if
     * the process had no list.
     */
    public Map<String, Object> tree() {
        if (page() == null) {
            return null;
        }
        Map<String, Object> tree = new LinkedHashMap<>();
        tree.put(WireNames.VERSION, (double) version);
        tree.put(WireNames.IS_COMPLETE, true);
        tree.put(WireNames.ENDPOINTS, lazily(rows, EndpointListPage.Row::tree));
        return tree;
    }

    /** Returns the converted elements, each created when it is iterated over: all at once may be too many. */
    public static <T> Iterable<Object> lazily(List<T> elements, Function<T, Object> conversion) {
        return () -> {
            Iterator<T> iterator = elements.iterator();
            return new Iterator<>() {
                @Override
                public boolean hasNext() {
                    return iterator.hasNext();
                }

                @Override
                public Object next() {
                    return conversion.apply(iterator.next());
                }
            };
        };
    }
}
