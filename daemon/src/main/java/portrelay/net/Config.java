package portrelay.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import portrelay.door.DoorSettings;
import portrelay.json.Tree;
import portrelay.settings.BadSetting;
import portrelay.settings.Fields;
import portrelay.settings.Settings;

/**
 * What a sidecar is told at its start. Known is null where it never had a list, mgmt where operators have no door,
 * peers where there is no way for messages.
 */
public record Config(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        InetSocketAddress mgmt,
        long seed,
        int sockets,
        Fields known,
        Settings settings,
        DoorSettings door,
        Peers peers) {

    /** The environment variable that names the file. */
    public static final String FILE = Names.CONFIG_FILE;
    /** The environment variable that says where operators call, whatever the file says. */
    public static final String MGMT = Names.MGMT_ADDRESS;

    private static final int SOCKETS = 1024;
    private static final int MOST_SOCKETS = 10_000_000;

    public static Config parse(byte[] json) throws BadSetting {
        Fields root = Fields.of(tree(json), "");
        int sockets = root.has(Names.LIMITS)
                ? root.section(Names.LIMITS).whole(Names.SOCKETS, SOCKETS, 1, MOST_SOCKETS)
                : SOCKETS;
        Fields known = root.has(Names.KNOWN) ? root.section(Names.KNOWN) : null;
        if (known != null) {
            ListPage.read(known);
        }
        return new Config(
                root.text(Names.NAME),
                address(root, Names.LISTEN),
                address(root, Names.DISCOVERY),
                root.has(Names.MGMT) ? address(root, Names.MGMT) : null,
                seed(root),
                sockets,
                known,
                new Settings(root.section(Names.SETTINGS)),
                root.has(Names.DOOR) ? DoorSettings.read(root.section(Names.DOOR)) : DoorSettings.USUAL,
                Peers.read(root));
    }

    /** With the door as a file of its own sets it: one object with the fields of the section. */
    public Config withDoor(byte[] json) throws BadSetting {
        Fields fields = Fields.of(tree(json), Names.DOOR);
        return new Config(
                name, listen, discovery, mgmt, seed, sockets, known, settings, DoorSettings.read(fields), peers);
    }

    /** With the operators' door where the text says: that is told to one process, the file to several. */
    public Config withMgmt(String text) throws BadSetting {
        InetSocketAddress at = Addresses.parse(text);
        if (at == null) {
            throw new BadSetting(MGMT, "a numeric address and a port");
        }
        return new Config(name, listen, discovery, at, seed, sockets, known, settings, door, peers);
    }

    /** What the settings set that this sidecar does without: the field, and what it does instead. */
    public List<String> inVain() {
        return settings.notOnSockets(peers != null);
    }

    private static Object tree(byte[] json) throws BadSetting {
        try {
            return Tree.parseOnce(json);
        } catch (IOException e) {
            String why = e.getMessage().lines().findFirst().orElse("");
            throw new BadSetting("the whole", "well-formed JSON, but " + why);
        }
    }

    private static InetSocketAddress address(Fields root, String name) throws BadSetting {
        InetSocketAddress address = Addresses.parse(root.text(name));
        if (address == null) {
            throw root.bad(name, "a numeric address and a port");
        }
        return address;
    }

    private static long seed(Fields root) throws BadSetting {
        try {
            return Long.parseUnsignedLong(root.text(Names.SEED), 16);
        } catch (NumberFormatException e) {
            throw root.bad(Names.SEED, "up to 16 hexadecimal digits");
        }
    }
}
