package org.jackdawbeam.bench.policy;

import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Result of a simulated day.
 *
 * @param byKind outcome counts by the name of the request kind
 * @param sizes sizes and outcomes of ended requests by the name of their kind
 * @param orders number of orders sent to engines
 * @param residentModels mean number of models resident on an engine
 */
record PolicyResult(
        Map<String, Counts> byKind,
        Map<String, List<ServedShares.EndedRequest>> sizes,
        int orders,
        double residentModels) {

    private static final double SIZE_INDEPENDENT_WEIGHT = 0.3; // share of the credit of a request that ignores its size
    private static final double MAX_SIZE_FACTOR = 4; // cap on the weight of a request, in multiples of a typical one

    /** Outcome of a request. */
    enum Outcome {
        IN_TIME,
        /** The first token came too late. */
        LATE,
        /** The first token came in time, and a pause between events was too long. */
        PAUSED,
        REFUSED,
        FAILED;

        boolean served() {
            return this == IN_TIME || this == LATE || this == PAUSED;
        }

        double credit(RequestKind kind) {
            return switch (this) {
                case IN_TIME -> kind.credit();
                case LATE, PAUSED -> kind.lateCredit();
                case REFUSED, FAILED -> 0;
            };
        }
    }

    /** Outcome counts; requests that are still open at the end of the day count only as arrived. */
    record Counts(int arrived, int inTime, int late, int paused, int refused, int failed) {
        static Counts none() {
            return new Counts(0, 0, 0, 0, 0, 0);
        }

        Counts plusArrived() {
            return new Counts(arrived + 1, inTime, late, paused, refused, failed);
        }

        Counts plus(Outcome outcome) {
            return switch (outcome) {
                case IN_TIME -> new Counts(arrived, inTime + 1, late, paused, refused, failed);
                case LATE -> new Counts(arrived, inTime, late + 1, paused, refused, failed);
                case PAUSED -> new Counts(arrived, inTime, late, paused + 1, refused, failed);
                case REFUSED -> new Counts(arrived, inTime, late, paused, refused + 1, failed);
                case FAILED -> new Counts(arrived, inTime, late, paused, refused, failed + 1);
            };
        }

        Counts plus(Counts other) {
            return new Counts(
                    arrived + other.arrived,
                    inTime + other.inTime,
                    late + other.late,
                    paused + other.paused,
                    refused + other.refused,
                    failed + other.failed);
        }

        int ended() {
            return inTime + late + paused + refused + failed;
        }
    }

    /** Returns the share of the attainable credit of a kind that was earned; larger requests have a higher weight. */
    double credit(RequestKind kind) {
        double attainable = attainable(kind);
        return attainable == 0 ? 1 : weighted(kind, ended -> ended.result().credit(kind)) / attainable;
    }

    private double attainable(RequestKind kind) {
        return weighted(kind, ended -> kind.credit());
    }

    private double weighted(RequestKind kind, ToDoubleFunction<ServedShares.EndedRequest> credit) {
        List<ServedShares.EndedRequest> ended = sizes.get(kind.name());
        double mean = ended.stream()
                .mapToLong(ServedShares.EndedRequest::size)
                .average()
                .orElse(1);
        return ended.stream()
                .mapToDouble(request -> credit.applyAsDouble(request)
                        * Math.min(
                                MAX_SIZE_FACTOR,
                                SIZE_INDEPENDENT_WEIGHT + (1 - SIZE_INDEPENDENT_WEIGHT) * request.size() / mean))
                .sum();
    }

    /** Returns the shares of the requests of a kind that were served over several days, by size. */
    static ServedShares servedShares(List<PolicyResult> results, RequestKind kind) {
        return ServedShares.of(results.stream()
                .flatMap(result -> result.sizes().get(kind.name()).stream())
                .toList());
    }

    /** Returns the share of the attainable credit of all kinds that was earned. */
    double credit(PolicySite site) {
        double attainable = 0;
        double earned = 0;
        for (RequestKind kind : site.kinds()) {
            double part = attainable(kind);
            attainable += part;
            earned += part * credit(kind);
        }
        return attainable == 0 ? 1 : earned / attainable;
    }
}
