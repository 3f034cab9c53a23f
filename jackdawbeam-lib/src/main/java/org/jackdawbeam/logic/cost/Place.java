package org.jackdawbeam.logic.cost;

/** A model at an engine of a service, where a request may run. */
public record Place(String service, String model, String engine) {
    String modelKey() {
        return service + "/" + model;
    }
}
