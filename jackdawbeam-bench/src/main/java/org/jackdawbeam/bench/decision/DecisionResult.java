package org.jackdawbeam.bench.decision;

import java.util.Map;
import org.jackdawbeam.model.refusal.RefusalCode;

/**
 * Result of one run of the decision benchmark.
 *
 * @param attainment share of the requests within the rate whose first token and token gaps met their objectives
 * @param attainedPerEngine attained requests per second and engine
 * @param worstWorkspace lowest attainment of any workspace
 * @param refusedInsideRate share of the requests within the rate that were refused as over the rate
 * @param refusedForCapacity share of the requests within the rate that were refused for other reasons
 * @param firstTokenP50 median time to the first token, in milliseconds
 * @param firstTokenP95 95th percentile of the time to the first token, in milliseconds
 * @param gapP95 95th percentile of the time between tokens, in milliseconds
 * @param modelMoves number of model loads during the measurement
 * @param unreachableMillis longest time for which a model was resident on no engine during the measurement
 * @param eventsPerRequest reducer events per request
 * @param refusals number of refusals by code
 */
public record DecisionResult(
        double attainment,
        double attainedPerEngine,
        double worstWorkspace,
        double refusedInsideRate,
        double refusedForCapacity,
        double firstTokenP50,
        double firstTokenP95,
        double gapP95,
        long modelMoves,
        double unreachableMillis,
        double eventsPerRequest,
        Map<RefusalCode, Integer> refusals) {}
