package portrelay.net.peer;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import portrelay.net.http.SocketAddresses;
import portrelay.net.http.WireNames;
import portrelay.settings.InvalidSettingException;
import portrelay.settings.JsonFields;

/**
 * The addresses that sidecars use to exchange messages, as defined by the platform's protocol.
 *
 * @param listen the address at which this sidecar receives messages
 * @param sidecars the address of each sidecar, including this one, indexed by its number; not empty
 * @param broadcast the address that reaches all sidecars; null if there is none
 */
public record PeerAddresses(InetSocketAddress listen, List<InetSocketAddress> sidecars, InetSocketAddress broadcast) {

    /**
     * Reads the addresses from the root of the configuration. Returns null if the configuration lacks the address at
     * which this sidecar receives messages, or lists no sidecars.
     *
     * @throws InvalidSettingException if an address is invalid; names the first such address
     */
    public static PeerAddresses read(JsonFields root) throws InvalidSettingException {
        if (!root.has(WireNames.PEER_LISTEN) || !root.has(WireNames.PEERS)) {
            return null;
        }
        List<InetSocketAddress> sidecars = new ArrayList<>();
        for (String text : root.strings(WireNames.PEERS)) {
            sidecars.add(parseAddress(root, WireNames.PEERS + "[" + sidecars.size() + "]", text));
        }
        InetSocketAddress broadcast = root.has(WireNames.PEERS_ALL)
                ? parseAddress(root, WireNames.PEERS_ALL, root.string(WireNames.PEERS_ALL))
                : null;
        InetSocketAddress listen = parseAddress(root, WireNames.PEER_LISTEN, root.string(WireNames.PEER_LISTEN));
        return sidecars.isEmpty() ? null : new PeerAddresses(listen, List.copyOf(sidecars), broadcast);
    }

    private static InetSocketAddress parseAddress(JsonFields root, String field, String text)
            throws InvalidSettingException {
        InetSocketAddress address = SocketAddresses.parse(text);
        if (address == null) {
            throw root.invalid(field, "a numeric address and a port");
        }
        return address;
    }
}
