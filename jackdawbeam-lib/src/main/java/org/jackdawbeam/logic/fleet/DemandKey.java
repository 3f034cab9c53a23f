package org.jackdawbeam.logic.fleet;

/**
 * Identifies a model of a service in demand figures.
 *
 * @param service name of the service
 * @param model name of the model
 */
public record DemandKey(String service, String model) {
    private static final String SEPARATOR = "\n";

    String text() {
        return service + SEPARATOR + model;
    }

    static DemandKey parse(String text) {
        int separator = text.indexOf(SEPARATOR);
        return new DemandKey(text.substring(0, separator), text.substring(separator + 1));
    }
}
