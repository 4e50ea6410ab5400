package portrelay.net.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.StringTokenizer;

/**
 * The target of a request and the header values of it that Undertow's parser changes, as the client sent them. Undertow
 * splits the target into parts, among which an empty query and the first of two question marks are lost, and folds
 * blanks within a header value.
 */
public final class RequestHead {

    private static final String BLANKS = " \t";
    private static final String SCHEME_END = "://";

    private final String target;
    /** All values of each header that has a value with folded blanks. */
    private final Map<HttpString, List<String>> unfoldedValues;

    private RequestHead(String target, Map<HttpString, List<String>> unfoldedValues) {
        this.target = target;
        this.unfoldedValues = unfoldedValues;
    }

    /**
     * Returns the head with these lines, without their line endings.
     *
     * @param requestLine the first line; if it has no target, the target is empty
     * @param fieldLines the well-formed header lines
     */
    static RequestHead of(String requestLine, List<String> fieldLines) {
        StringTokenizer parts = new StringTokenizer(requestLine, BLANKS);
        String method = parts.hasMoreTokens() ? parts.nextToken() : "";
        String target = parts.hasMoreTokens() ? parts.nextToken() : "";
        return new RequestHead(originForm(method.isEmpty() ? "" : target), unfoldedValues(fieldLines));
    }

    /** Returns the raw path and query; without scheme and authority if the client sent the absolute-form (a URI). */
    public String target() {
        return target;
    }

    /** Replaces the header values that the parser changed by those that the client sent. */
    public void restoreValues(HeaderMap headers) {
        unfoldedValues.forEach(headers::putAll);
    }

    private static String originForm(String target) {
        int scheme = target.startsWith("/") ? -1 : target.indexOf(SCHEME_END);
        if (scheme < 0) {
            return target;
        }
        int end = scheme + SCHEME_END.length();
        while (end < target.length() && target.charAt(end) != '/' && target.charAt(end) != '?') {
            end++;
        }
        String rest = target.substring(end);
        return rest.startsWith("/") ? rest : "/" + rest;
    }

    private static Map<HttpString, List<String>> unfoldedValues(List<String> fieldLines) {
        if (fieldLines.stream().noneMatch(line -> hasFoldedBlanks(value(line)))) {
            return Map.of();
        }
        Map<HttpString, List<String>> valuesByName = new LinkedHashMap<>();
        for (String line : fieldLines) {
            HttpString name = new HttpString(line.substring(0, line.indexOf(':')));
            valuesByName.computeIfAbsent(name, key -> new ArrayList<>()).add(value(line));
        }
        valuesByName.values().removeIf(values -> values.stream().noneMatch(RequestHead::hasFoldedBlanks));
        return valuesByName;
    }

    /** Whether the parser changes the value: it replaces each run of spaces and tabs by one space. */
    private static boolean hasFoldedBlanks(String value) {
        return value.indexOf('\t') >= 0 || value.contains("  ");
    }

    /** Returns the value of a header line, without the blanks around it (RFC 9112, 5). */
    private static String value(String line) {
        int start = line.indexOf(':') + 1;
        int end = line.length();
        while (start < end && isBlank(line.charAt(start))) {
            start++;
        }
        while (end > start && isBlank(line.charAt(end - 1))) {
            end--;
        }
        return line.substring(start, end);
    }

    private static boolean isBlank(char character) {
        return BLANKS.indexOf(character) >= 0;
    }
}
