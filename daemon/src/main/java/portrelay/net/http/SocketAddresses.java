package portrelay.net.http;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses and formats numeric addresses with a port. Host names are never resolved: DNS is not available, and a lookup
 * would block the loop.
 */
public final class SocketAddresses {

    private static final Pattern V4 = Pattern.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3}):(\\d{1,5})");
    private static final Pattern V6 = Pattern.compile("\\[([0-9a-fA-F:.]*:[0-9a-fA-F:.]*)\\]:(\\d{1,5})");
    private static final int MAX_OCTET = 255;
    private static final int MAX_PORT = 65535;

    private SocketAddresses() {}

    /** Parses {@code 192.0.2.1:80} or {@code [2001:db8::1]:80}; returns null if the text has another form. */
    public static InetSocketAddress parse(String text) {
        Matcher v4 = V4.matcher(text);
        Matcher v6 = V6.matcher(text);
        try {
            if (v4.matches()) {
                byte[] address = new byte[4];
                for (int i = 0; i < 4; i++) {
                    int octet = Integer.parseInt(v4.group(i + 1));
                    if (octet > MAX_OCTET) {
                        return null;
                    }
                    address[i] = (byte) octet;
                }
                return withPort(InetAddress.getByAddress(address), v4.group(5));
            }
            return v6.matches() ? withPort(InetAddress.getByName(v6.group(1)), v6.group(2)) : null;
        } catch (UnknownHostException e) {
            return null;
        }
    }

    /** Formats an address as in a Host header; {@link #parse} accepts the result. */
    public static String format(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (host.indexOf(':') < 0 ? host : "[" + host + "]") + ":" + address.getPort();
    }

    private static InetSocketAddress withPort(InetAddress address, String text) {
        int port = Integer.parseInt(text);
        return port > MAX_PORT ? null : new InetSocketAddress(address, port);
    }
}
