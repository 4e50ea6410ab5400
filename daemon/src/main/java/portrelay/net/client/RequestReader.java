package portrelay.net.client;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.util.regex.Pattern;
import portrelay.model.RequestArrival;
import portrelay.model.RequestClass;
import portrelay.model.RequestClassId;
import portrelay.model.RequestId;
import portrelay.model.TenantId;
import portrelay.net.connection.HttpCall;
import portrelay.net.http.HeaderForwarding;
import portrelay.net.http.WireNames;
import portrelay.settings.Settings;

/**
 * Reads the few fields of a request that the decisions need; everything else is forwarded unchanged. The idempotency
 * key is only checked for presence: the upstreams compare keys, the decisions do not.
 */
public final class RequestReader {

    /** Maximum length of a request id in characters. */
    private static final int MAX_ID_LENGTH = 256;
    /** Nine digits always fit into an int. */
    private static final Pattern UP_TO_NINE_DIGITS = Pattern.compile("\\d{1,9}");
    /** Allowance for the network: the client's time runs from before the arrival until it receives the response. */
    private static final double NETWORK_MARGIN_SECONDS = 0.005;
    /** Minimum time left after the margin, so that the deadline is always after the arrival. */
    private static final double MIN_TIME_LEFT_SECONDS = 0.001;

    private static final double MILLIS_PER_SECOND = 1e3;

    private final Settings settings;

    /** @param settings the request classes and tenants */
    public RequestReader(Settings settings) {
        this.settings = settings;
    }

    /**
     * Checks the framing by the head alone, before the body is read. Rejects a body that is too long, or whose end
     * another parser of the same bytes could place elsewhere, which could hide a second request in the body (request
     * smuggling).
     *
     * @return the body's length in bytes, -1 if the head does not give it
     */
    long checkFraming(HttpServerExchange exchange) throws MalformedRequestException {
        HeaderMap headers = exchange.getRequestHeaders();
        String length = singleValue(headers, Headers.CONTENT_LENGTH);
        String coding = singleValue(headers, Headers.TRANSFER_ENCODING);
        if (coding != null && (length != null || !coding.equalsIgnoreCase("chunked"))) {
            throw new MalformedRequestException(StatusCodes.BAD_REQUEST, Headers.TRANSFER_ENCODING.toString());
        }
        if (length == null) {
            return coding == null ? 0 : -1;
        }
        int bytes = parseNumber(length);
        if (bytes < 0) {
            throw new MalformedRequestException(StatusCodes.BAD_REQUEST, "Content-Length");
        }
        if (bytes > HttpCall.MAX_BODY) {
            throw bodyTooLong();
        }
        return bytes;
    }

    Settings settings() {
        return settings;
    }

    /** Returns the rejection of a body of more than {@link HttpCall#MAX_BODY} bytes. */
    static MalformedRequestException bodyTooLong() {
        String message = "body over " + HttpCall.MAX_BODY + " bytes";
        return new MalformedRequestException(StatusCodes.REQUEST_ENTITY_TOO_LARGE, message);
    }

    /**
     * Reads a request with valid framing. Its deadline may already have passed.
     *
     * @param hasBody whether the body has any bytes
     * @param isStreamed whether the body is forwarded while it is received, so that it can be sent only once
     * @param arrivedAt when the request arrived; the time that the client gave counts from here
     * @param latestDeadline the latest time at which the process can answer; the request's deadline is not later
     */
    RequestArrival read(
            HttpServerExchange exchange, boolean hasBody, boolean isStreamed, double arrivedAt, double latestDeadline)
            throws MalformedRequestException {
        HeaderMap headers = exchange.getRequestHeaders();
        RequestId id = readId(headers);
        RequestClassId classId = readRequestClass(exchange, headers);
        RequestClass requestClass = settings.requestClass(classId);
        checkMethod(requestClass, exchange.getRequestMethod(), headers, hasBody);
        TenantId tenant = readTenant(headers);
        double timeLeft = readTimeLeft(headers, requestClass);
        boolean isRetriedByClient = WireNames.TRUE.equals(singleValue(headers, WireNames.RETRIED_BY_CLIENT));
        double deadline = Math.min(arrivedAt + timeLeft, latestDeadline);
        return new RequestArrival(id, classId, tenant, null, deadline, Double.NaN, isRetriedByClient, isStreamed);
    }

    private static RequestId readId(HeaderMap headers) throws MalformedRequestException {
        String id = singleValue(headers, WireNames.REQUEST_ID);
        if (id == null || id.isEmpty() || id.length() > MAX_ID_LENGTH) {
            throw missingHeader(WireNames.REQUEST_ID);
        }
        return new RequestId(id);
    }

    /** Reads the request class, which a header and the first segment of the path both name; they must agree. */
    private RequestClassId readRequestClass(HttpServerExchange exchange, HeaderMap headers)
            throws MalformedRequestException {
        String name = singleValue(headers, WireNames.REQUEST_CLASS);
        RequestClassId id = name == null ? null : settings.requestClass(name);
        if (id == null || !name.equals(firstSegment(HeaderForwarding.path(exchange)))) {
            throw new MalformedRequestException(
                    StatusCodes.NOT_FOUND, WireNames.REQUEST_CLASS + " or the path names no offering");
        }
        return id;
    }

    private TenantId readTenant(HeaderMap headers) throws MalformedRequestException {
        String name = singleValue(headers, WireNames.TENANT);
        TenantId tenant = name == null ? null : settings.tenant(name);
        if (settings.hasTenants() && tenant == null) {
            throw missingHeader(WireNames.TENANT);
        }
        return tenant;
    }

    /** Returns the seconds for which the client waits, at most the deadline of the request class. */
    private static double readTimeLeft(HeaderMap headers, RequestClass requestClass) throws MalformedRequestException {
        String text = singleValue(headers, WireNames.DEADLINE_MS);
        int millis = text == null ? -1 : parseNumber(text);
        if (millis <= 0) {
            throw missingHeader(WireNames.DEADLINE_MS);
        }
        double max = requestClass.deadline() > 0 ? requestClass.deadline() : Double.POSITIVE_INFINITY;
        return Math.max(Math.min(millis / MILLIS_PER_SECOND - NETWORK_MARGIN_SECONDS, max), MIN_TIME_LEFT_SECONDS);
    }

    private static void checkMethod(RequestClass requestClass, HttpString method, HeaderMap headers, boolean hasBody)
            throws MalformedRequestException {
        boolean isSafe = requestClass.idempotency() == RequestClass.Idempotency.SAFE;
        if (!method.equals(isSafe ? Methods.GET : Methods.POST)) {
            throw new MalformedRequestException(StatusCodes.METHOD_NOT_ALLOWED, "the offering takes another method");
        }
        if (isSafe && hasBody) {
            throw new MalformedRequestException(StatusCodes.BAD_REQUEST, "the offering takes no body");
        }
        boolean isKeyed = requestClass.idempotency() == RequestClass.Idempotency.KEYED;
        if (isKeyed && singleValue(headers, WireNames.IDEMPOTENCY_KEY) == null) {
            throw missingHeader(WireNames.IDEMPOTENCY_KEY);
        }
    }

    private static MalformedRequestException missingHeader(HttpString header) {
        return new MalformedRequestException(StatusCodes.BAD_REQUEST, header + " is missing or not understood");
    }

    /** Returns the single value of a header, or null if it is absent; a repeated header is ambiguous and rejected. */
    private static String singleValue(HeaderMap headers, HttpString name) throws MalformedRequestException {
        HeaderValues values = headers.get(name);
        if (values == null) {
            return null;
        }
        if (values.size() > 1) {
            throw new MalformedRequestException(StatusCodes.BAD_REQUEST, name + " stands more than once");
        }
        return values.getFirst();
    }

    /** Returns a number of up to nine digits, or -1 if the text is anything else. */
    private static int parseNumber(String text) {
        return UP_TO_NINE_DIGITS.matcher(text).matches() ? Integer.parseInt(text) : -1;
    }

    private static String firstSegment(String path) {
        int end = path.indexOf('/', 1);
        return path.isEmpty() ? "" : path.substring(1, end < 0 ? path.length() : end);
    }
}
