package portrelay.net.lifecycle;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import portrelay.admission.AdmissionConfig;
import portrelay.json.JsonTree;
import portrelay.json.ValueReader;
import portrelay.net.discovery.EndpointListLimit;
import portrelay.net.discovery.EndpointListPage;
import portrelay.net.discovery.EndpointListReader;
import portrelay.net.http.SocketAddresses;
import portrelay.net.http.WireNames;
import portrelay.net.peer.PeerAddresses;
import portrelay.settings.InvalidSettingException;
import portrelay.settings.JsonFields;
import portrelay.settings.Settings;

/**
 * The configuration of one sidecar, read from the JSON that the platform's protocol defines.
 *
 * @param name name of this sidecar, used in its log and in the names of its handover files
 * @param listen address that clients connect to; port 0 lets the system choose
 * @param discovery address of the discovery service
 * @param adminAddress address of the admin endpoint; null for none
 * @param seed seed of the random numbers of all decisions
 * @param descriptorLimit number of file descriptors that the process may hold
 * @param cachedEndpoints last known endpoint list; null for none
 * @param peers addresses of the peers; null where sidecars exchange no messages
 */
public record SidecarConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        InetSocketAddress adminAddress,
        long seed,
        int descriptorLimit,
        EndpointListPage cachedEndpoints,
        Settings settings,
        AdmissionConfig admission,
        PeerAddresses peers) {

    /** The environment variable with the path of the configuration file. */
    public static final String CONFIG_FILE_VARIABLE = WireNames.CONFIG_FILE_VARIABLE;
    /** The environment variable with the address of the admin endpoint; it overrides the file. */
    public static final String ADMIN_ADDRESS_VARIABLE = WireNames.ADMIN_ADDRESS_VARIABLE;

    private static final int DEFAULT_DESCRIPTOR_LIMIT = 1024;
    private static final int MAX_DESCRIPTOR_LIMIT = 10_000_000;

    /**
     * Reads a configuration file.
     *
     * @throws InvalidSettingException if a field is missing or wrong; names the first such field
     */
    public static SidecarConfig parse(byte[] json) throws InvalidSettingException {
        return parse(json, EndpointListLimit.ofHeap(Arrays.hashCode(json)));
    }

    /**
     * Reads a configuration file whose cached endpoint list is not needed; the list is checked all the same.
     *
     * @throws InvalidSettingException if a field is missing or wrong; names the first such field
     */
    public static SidecarConfig parseWithoutCachedEndpoints(byte[] json) throws InvalidSettingException {
        return parse(json, EndpointListLimit.NOTHING).withoutCachedEndpoints();
    }

    private static SidecarConfig parse(byte[] json, EndpointListLimit limit) throws InvalidSettingException {
        JsonFields root = JsonFields.of(parseTree(json, limit), "");
        int descriptorLimit = root.has(WireNames.LIMITS)
                ? root.section(WireNames.LIMITS)
                        .integer(WireNames.MAX_SOCKETS, DEFAULT_DESCRIPTOR_LIMIT, 1, MAX_DESCRIPTOR_LIMIT)
                : DEFAULT_DESCRIPTOR_LIMIT;
        EndpointListPage cachedEndpoints = (EndpointListPage) root.asMap().get(WireNames.CACHED_ENDPOINTS);
        return new SidecarConfig(
                root.string(WireNames.NAME),
                address(root, WireNames.LISTEN),
                address(root, WireNames.DISCOVERY),
                root.has(WireNames.ADMIN_ADDRESS) ? address(root, WireNames.ADMIN_ADDRESS) : null,
                seed(root),
                descriptorLimit,
                cachedEndpoints,
                new Settings(root.section(WireNames.SETTINGS)),
                root.has(WireNames.ADMISSION)
                        ? AdmissionConfig.read(root.section(WireNames.ADMISSION))
                        : AdmissionConfig.DEFAULTS,
                PeerAddresses.read(root));
    }

    /** Returns a copy without a cached endpoint list, which takes memory. To be kept while the sidecar runs. */
    public SidecarConfig withoutCachedEndpoints() {
        return new SidecarConfig(
                name, listen, discovery, adminAddress, seed, descriptorLimit, null, settings, admission, peers);
    }

    /**
     * Returns a copy with other admission settings.
     *
     * @param json one object with the fields of the admission section
     */
    public SidecarConfig withAdmission(byte[] json) throws InvalidSettingException {
        JsonFields fields = JsonFields.of(parseTree(json, EndpointListLimit.NOTHING), WireNames.ADMISSION);
        return new SidecarConfig(
                name,
                listen,
                discovery,
                adminAddress,
                seed,
                descriptorLimit,
                cachedEndpoints,
                settings,
                AdmissionConfig.read(fields),
                peers);
    }

    /**
     * Returns a copy with another address for clients to connect to.
     *
     * @param text a numeric address and a port
     */
    public SidecarConfig withListen(String text) throws InvalidSettingException {
        InetSocketAddress address = SocketAddresses.parse(text);
        if (address == null) {
            throw new InvalidSettingException(WireNames.LISTEN, "a numeric address and a port");
        }
        return new SidecarConfig(
                name,
                address,
                discovery,
                adminAddress,
                seed,
                descriptorLimit,
                cachedEndpoints,
                settings,
                admission,
                peers);
    }

    /**
     * Returns a copy with another address of the admin endpoint.
     *
     * @param text a numeric address and a port
     */
    public SidecarConfig withAdminAddress(String text) throws InvalidSettingException {
        InetSocketAddress address = SocketAddresses.parse(text);
        if (address == null) {
            throw new InvalidSettingException(ADMIN_ADDRESS_VARIABLE, "a numeric address and a port");
        }
        return new SidecarConfig(
                name, listen, discovery, address, seed, descriptorLimit, cachedEndpoints, settings, admission, peers);
    }

    /** Returns the settings that have no effect over sockets, each with its field and what happens instead. */
    public List<String> ignoredSettings() {
        return settings.unsupportedOverSockets(peers != null);
    }

    private static Object parseTree(byte[] json, EndpointListLimit limit) throws InvalidSettingException {
        try {
            ValueReader<InvalidSettingException> reader =
                    parser -> EndpointListReader.read(parser, WireNames.CACHED_ENDPOINTS, limit);
            return JsonTree.parseStrict(json, Map.of(WireNames.CACHED_ENDPOINTS, reader));
        } catch (IOException e) {
            String cause = e.getMessage().lines().findFirst().orElse("");
            throw new InvalidSettingException("the whole", "well-formed JSON, but " + cause);
        }
    }

    private static InetSocketAddress address(JsonFields root, String name) throws InvalidSettingException {
        InetSocketAddress address = SocketAddresses.parse(root.string(name));
        if (address == null) {
            throw root.invalid(name, "a numeric address and a port");
        }
        return address;
    }

    private static long seed(JsonFields root) throws InvalidSettingException {
        try {
            return Long.parseUnsignedLong(root.string(WireNames.SEED), 16);
        } catch (NumberFormatException e) {
            throw root.invalid(WireNames.SEED, "up to 16 hexadecimal digits");
        }
    }
}
