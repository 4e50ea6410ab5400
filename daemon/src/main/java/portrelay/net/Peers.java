package portrelay.net;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import portrelay.settings.BadSetting;
import portrelay.settings.Fields;

/**
 * Where messages between sidecars come and go, by the protocol's page: ours come in at listen; each sidecar of the tier
 * has its address at its own number, ours among them; all, where there is one, reaches everybody.
 */
record Peers(InetSocketAddress listen, List<InetSocketAddress> each, InetSocketAddress all) {

    /** Null where the configuration names no way for messages: neither an address of ours nor others. */
    static Peers read(Fields root) throws BadSetting {
        if (!root.has(Names.PEER_LISTEN) || !root.has(Names.PEERS)) {
            return null;
        }
        List<InetSocketAddress> each = new ArrayList<>();
        for (String text : root.texts(Names.PEERS)) {
            each.add(address(root, Names.PEERS + "[" + each.size() + "]", text));
        }
        InetSocketAddress all =
                root.has(Names.PEERS_ALL) ? address(root, Names.PEERS_ALL, root.text(Names.PEERS_ALL)) : null;
        InetSocketAddress listen = address(root, Names.PEER_LISTEN, root.text(Names.PEER_LISTEN));
        return each.isEmpty() ? null : new Peers(listen, List.copyOf(each), all);
    }

    private static InetSocketAddress address(Fields root, String name, String text) throws BadSetting {
        InetSocketAddress address = Addresses.parse(text);
        if (address == null) {
            throw root.bad(name, "a numeric address and a port");
        }
        return address;
    }
}
