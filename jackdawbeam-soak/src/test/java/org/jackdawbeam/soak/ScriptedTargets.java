package org.jackdawbeam.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Targets whose responses a test scripts byte by byte, registered in the store of a site. */
final class ScriptedTargets implements AutoCloseable {
    private static final int BACKLOG = 100;

    private final SoakSite site;
    private final List<ServerSocket> listeners = new ArrayList<>();

    /** Responds on a connection, which is closed afterwards. */
    @FunctionalInterface
    interface Script {
        void respond(Socket socket) throws IOException;
    }

    ScriptedTargets(SoakSite site) {
        this.site = site;
    }

    /**
     * Starts a target.
     *
     * @param models models that it holds, in JSON
     */
    void start(String id, String service, String models, Script script) throws IOException {
        ServerSocket listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        listeners.add(listener);
        Thread.ofVirtual().start(() -> acceptAll(listener, script));
        String registration = """
                {"service":"%s","address":"127.0.0.1:%d","zone":"zone-1","version":"1","slots":64,"state":"ready",
                 "coldLeftMs":0,"seq":0,"born":1,"models":%s}""".formatted(service, listener.getLocalPort(), models);
        site.fleet().store().put("keyed.servers", id, registration.getBytes(StandardCharsets.UTF_8));
    }

    private static void acceptAll(ServerSocket listener, Script script) {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                Thread.ofVirtual().start(() -> serve(socket, script));
            } catch (IOException e) {
                // The target has been closed at the end of the test.
            }
        }
    }

    private static void serve(Socket socket, Script script) {
        try (socket) {
            script.respond(socket);
        } catch (IOException e) {
            // The entry has closed the connection.
        }
    }

    @Override
    public void close() throws IOException {
        for (ServerSocket listener : listeners) {
            listener.close();
        }
    }
}
