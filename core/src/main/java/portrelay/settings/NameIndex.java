package portrelay.settings;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Maps names in the settings to the ids that the load balancer uses instead of them. Filled by the parser, then only
 * read.
 */
final class NameIndex<I> {

    private final Map<String, I> ids = new HashMap<>();

    /** Adds a name with its id; returns whether the name was new. */
    boolean add(String name, I id) {
        return ids.put(name, id) == null;
    }

    /** Returns the id of a name; null for an unknown name. */
    I id(String name) {
        return ids.get(name);
    }

    /**
     * Returns the name of an id.
     *
     * @throws java.util.NoSuchElementException for an unknown id
     */
    String name(I id) {
        return ids.keySet().stream()
                .filter(name -> ids.get(name).equals(id))
                .findFirst()
                .orElseThrow();
    }

    Set<String> names() {
        return Set.copyOf(ids.keySet());
    }
}
