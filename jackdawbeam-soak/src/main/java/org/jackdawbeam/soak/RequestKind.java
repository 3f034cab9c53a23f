package org.jackdawbeam.soak;

import org.jackdawbeam.standin.fleet.FleetSite;

/** Kinds of requests that callers send in a soak run. */
enum RequestKind {
    CHAT("/chat/1", "small", FleetSite.KEY, true, true),
    ADAPTER_CHAT("/chat/2", "large/a1", FleetSite.KEY, true, true),
    LETTER("/letter/3", "small", FleetSite.KEY, true, false),
    PAYMENT("/pay/4", "", FleetSite.KEY, false, true),
    READ("/read/5", "", FleetSite.KEY, false, false),
    SMALL_WORKSPACE_READ("/read/6", "", FleetSite.SMALL_KEY, false, false);

    private final String path;
    private final String model;
    private final String key;
    private final boolean streaming;
    private final boolean atMostOnce;

    RequestKind(String path, String model, String key, boolean streaming, boolean atMostOnce) {
        this.path = path;
        this.model = model;
        this.key = key;
        this.streaming = streaming;
        this.atMostOnce = atMostOnce;
    }

    String key() {
        return key;
    }

    boolean streaming() {
        return streaming;
    }

    boolean atMostOnce() {
        return atMostOnce;
    }

    /** Returns the request as HTTP/1.1 text. */
    String toHttp(String requestId, String apiKey) {
        String modelHeaders = model.isEmpty() ? "" : "Model: " + model + "\r\nToken-Count: 100,20\r\n";
        return "POST " + path + " HTTP/1.1\r\nHost: " + FleetSite.HOST + "\r\nRequest-Id: " + requestId
                + "\r\nDeadline-Ms: 5000\r\nApi-Key: " + apiKey + "\r\n" + modelHeaders
                + "Content-Length: 4\r\n\r\nbody";
    }
}
