package org.jackdawbeam.logic.request;

import java.util.List;
import java.util.Optional;
import org.jackdawbeam.logic.routing.RoutingInput;
import org.jackdawbeam.model.bundle.RouteSpecification;
import org.jackdawbeam.model.request.Call.CompletionCall;
import org.jackdawbeam.model.request.Call.ServiceCall;

/** A call with its model or route resolved from the bundle. */
public sealed interface Work {

    /** Returns the name of the pool of targets that can serve the call. */
    String pool();

    /** Returns whether the call may be executed more than once. */
    boolean repeatable();

    /** Returns the cost reserved at admission, in charged tokens. */
    double cost();

    /** Returns the input for routing the call. */
    RoutingInput routingInput(long requestId);

    /**
     * A completion.
     *
     * @param call the call
     * @param model base model
     * @param adapter adapter on top of the base model
     */
    record Completion(CompletionCall call, String model, Optional<String> adapter) implements Work {
        @Override
        public String pool() {
            return modelPool(model);
        }

        @Override
        public boolean repeatable() {
            return true;
        }

        @Override
        public double cost() {
            return (double) call.promptTokens() + call.maximumTokens();
        }

        @Override
        public RoutingInput routingInput(long requestId) {
            return new RoutingInput(requestId, adapter, call.promptTokens(), call.prefixHashes());
        }
    }

    /**
     * A call to a plain service.
     *
     * @param call the call
     * @param route the resolved route
     */
    record Service(ServiceCall call, RouteSpecification route) implements Work {
        @Override
        public String pool() {
            return servicePool(route.service());
        }

        @Override
        public boolean repeatable() {
            return route.repeatable();
        }

        @Override
        public double cost() {
            return route.openToAll() ? 0 : route.costTokens();
        }

        @Override
        public RoutingInput routingInput(long requestId) {
            return new RoutingInput(requestId, Optional.empty(), 0, List.of());
        }

        /** Returns whether an idempotency claim must be in the log before the call is executed. */
        public boolean needsClaim() {
            return !route.repeatable() && call.idempotencyKey().isPresent();
        }
    }

    /** Returns the name of the pool of engines that hold a model. */
    static String modelPool(String model) {
        return "model:" + model;
    }

    /** Returns the name of the pool of targets of a service. */
    static String servicePool(String service) {
        return "service:" + service;
    }
}
