package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A discovery with the complete list and watches for changes, as the protocol page describes it. */
final class Discovery implements AutoCloseable {

    /** Returns a row of the list. */
    static String row(String id, String address, int cell, String health, long bornMs) {
        return "{\"host\":\"" + id + "\",\"dial\":\"" + address
                + "\",\"site\":\"munnar\",\"class\":\"new-rack\",\"block\":" + cell + ",\"health\":\"" + health
                + "\",\"share\":1.0,\"born_ms\":" + bornMs + "}";
    }

    private final ServerSocket listener;
    private final Map<String, String> rows = new LinkedHashMap<>();
    /** The changed row of each version. */
    private final TreeMap<Long, String> changes = new TreeMap<>();

    private long version = 1;

    Discovery() throws IOException {
        listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Threads.start("discovery", () -> {
            while (true) {
                Socket socket = listener.accept();
                Threads.start("discovery-call", () -> serve(socket));
            }
        });
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Sets a row that may be new, and tells the watches; a null row makes the upstream gone. */
    synchronized void set(String id, String row) {
        version++;
        if (row == null) {
            rows.remove(id);
            changes.put(version, "{\"host\":\"" + id + "\",\"health\":\"DELETED\"}");
        } else {
            rows.put(id, row);
            changes.put(version, row);
        }
        notifyAll();
    }

    synchronized String rows() {
        return String.join(",", rows.values());
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
                byte[] body = Http.bytes(answer(call.target()));
                socket.getOutputStream()
                        .write(Http.bytes("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n"));
                socket.getOutputStream().write(body);
            }
        }
    }

    private synchronized String answer(String target) throws InterruptedException {
        Map<String, Long> query = new LinkedHashMap<>();
        if (target.contains("?")) {
            for (String part : List.of(target.substring(target.indexOf('?') + 1).split("&"))) {
                query.put(part.split("=")[0], Long.parseLong(part.split("=")[1]));
            }
        }
        if (!query.containsKey("index")) {
            return "{\"seq\":" + version + ",\"whole\":true,\"hosts\":[" + rows() + "]}";
        }
        long index = query.get("index");
        long until = System.nanoTime() + Math.min(60_000, query.getOrDefault("wait", 0L)) * 1_000_000;
        while (version <= index && System.nanoTime() < until) {
            wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
        }
        return "{\"seq\":" + version + ",\"whole\":false,\"hosts\":["
                + String.join(",", changes.tailMap(index, false).values()) + "]}";
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
