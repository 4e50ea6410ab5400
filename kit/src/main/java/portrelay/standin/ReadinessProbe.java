package portrelay.standin;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;

/** Checks whether a sidecar on loopback is ready. */
final class ReadinessProbe {

    private ReadinessProbe() {}

    /** Whether {@code /up} answers 200. The timeout applies to the connect and to the read separately. */
    static boolean isReady(int port, int timeoutMillis) {
        return isReady(port, timeoutMillis, timeoutMillis);
    }

    static boolean isReady(int port, int connectTimeoutMillis, int readTimeoutMillis) {
        try {
            HttpURLConnection connection = (HttpURLConnection)
                    URI.create("http://127.0.0.1:" + port + "/up").toURL().openConnection();
            connection.setConnectTimeout(connectTimeoutMillis);
            connection.setReadTimeout(readTimeoutMillis);
            int status = connection.getResponseCode();
            connection.disconnect();
            return status == HttpURLConnection.HTTP_OK;
        } catch (IOException e) {
            return false;
        }
    }
}
