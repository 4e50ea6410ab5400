package portrelay.net.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.util.Locale;
import java.util.Set;

/** Selects the forwarded headers: all except the hop-by-hop headers (RFC 9110, 7.6.1) and the framing headers. */
public final class HeaderForwarding {

    private static final Set<HttpString> NOT_FORWARDED = Set.of(
            Headers.CONNECTION,
            Headers.KEEP_ALIVE,
            Headers.PROXY_AUTHENTICATE,
            Headers.PROXY_AUTHORIZATION,
            Headers.TE,
            Headers.TRAILER,
            Headers.TRANSFER_ENCODING,
            Headers.UPGRADE,
            Headers.CONTENT_LENGTH,
            Headers.EXPECT,
            WireNames.PROXY_CONNECTION);

    private HeaderForwarding() {}

    /** Adds the forwarded headers of {@code from} to {@code to}, in the order of {@code from}. */
    public static void copy(HeaderMap from, HeaderMap to) {
        HeaderValues connection = from.get(Headers.CONNECTION);
        String hopByHop = connection == null ? "" : String.join(",", connection).toLowerCase(Locale.ROOT);
        for (HeaderValues header : from) {
            HttpString name = header.getHeaderName();
            if (!NOT_FORWARDED.contains(name) && (hopByHop.isEmpty() || !contains(hopByHop, name))) {
                to.putAll(name, header);
            }
        }
    }

    /** Returns the raw path, also if the request target is in absolute-form (a complete URI). */
    public static String path(HttpServerExchange exchange) {
        String uri = exchange.getRequestURI();
        int scheme = exchange.isHostIncludedInRequestURI() ? uri.indexOf("://") : -1;
        if (scheme < 0) {
            return uri;
        }
        int path = uri.indexOf('/', scheme + 3);
        return path < 0 ? "/" : uri.substring(path);
    }

    private static boolean contains(String list, HttpString name) {
        for (String element : list.split(",", -1)) {
            if (element.trim().equals(name.toString().toLowerCase(Locale.ROOT))) {
                return true;
            }
        }
        return false;
    }
}
