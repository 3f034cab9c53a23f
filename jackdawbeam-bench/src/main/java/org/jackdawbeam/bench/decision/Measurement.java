package org.jackdawbeam.bench.decision;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;
import java.util.TreeMap;
import org.jackdawbeam.bench.harness.EventQueue;
import org.jackdawbeam.bench.harness.FleetObserver;
import org.jackdawbeam.bench.harness.Node;
import org.jackdawbeam.model.bundle.Bundle;
import org.jackdawbeam.model.bundle.WorkspaceSpecification;
import org.jackdawbeam.model.refusal.Refusal;
import org.jackdawbeam.model.refusal.RefusalCode;
import org.jackdawbeam.model.request.AttemptId;

/** Measures requests from the callers' point of view, without those of a workspace that far exceeds its rate. */
final class Measurement implements FleetObserver {
    private static final double MAX_FIRST_TOKEN_MILLIS = 1_900;
    private static final double MAX_GAP_MILLIS = 30;
    private static final double REQUIRED_GAP_SHARE = 0.95;

    private final EventQueue queue;
    private final double fromMillis;
    private final double toMillis;
    private final OptionalInt noisyWorkspace;
    private final Map<String, TrackedRequest> open = new HashMap<>();
    private final Map<String, Bucket> buckets = new HashMap<>();
    private final Map<Integer, WorkspaceCounts> countsByWorkspace = new TreeMap<>();
    private final Map<RefusalCode, Integer> refusals = new TreeMap<>();
    private final Distribution firstTokens = new Distribution();
    private final Distribution gaps = new Distribution();

    private static final class TrackedRequest {
        private final int workspace;
        private final boolean withinRate;
        private final boolean counted;
        private final double arrivedAtMillis;
        private double firstTokenMillis = -1;
        private int gaps;
        private int goodGaps;

        TrackedRequest(int workspace, boolean withinRate, boolean counted, double arrivedAtMillis) {
            this.workspace = workspace;
            this.withinRate = withinRate;
            this.counted = counted;
            this.arrivedAtMillis = arrivedAtMillis;
        }
    }

    /** Reference token bucket for the whole fleet, equivalent to an ideal centralized rate limiter. */
    private static final class Bucket {
        private double level;
        private double atMillis;

        boolean tryTake(WorkspaceSpecification workspace, double cost, double nowMillis) {
            double accrued = (nowMillis - atMillis) * workspace.tokensPerSecond() / 1_000;
            level = Math.min(workspace.burstTokens(), level + accrued);
            atMillis = nowMillis;
            if (cost > level) {
                return false;
            }
            level -= cost;
            return true;
        }
    }

    /** Request counts of one workspace. */
    static final class WorkspaceCounts {
        int withinRate;
        int attained;
        int refusedOverRate;
        int refusedOtherwise;
        int answered;
        int lost;
    }

    Measurement(EventQueue queue, double fromMillis, double toMillis, OptionalInt noisyWorkspace) {
        this.noisyWorkspace = noisyWorkspace;
        this.queue = queue;
        this.fromMillis = fromMillis;
        this.toMillis = toMillis;
    }

    void sent(Node node, long requestId, int workspace, Bundle bundle, double cost) {
        WorkspaceSpecification specification = bundle.workspaces().get(workspace);
        Bucket bucket = buckets.computeIfAbsent(specification.name(), name -> new Bucket());
        boolean withinRate = bucket.tryTake(specification, cost, queue.nowMillis());
        boolean noisy = noisyWorkspace.isPresent() && noisyWorkspace.getAsInt() == workspace;
        boolean counted = !noisy && queue.nowMillis() >= fromMillis && queue.nowMillis() < toMillis;
        open.put(key(node, requestId), new TrackedRequest(workspace, withinRate, counted, queue.nowMillis()));
        if (counted && withinRate) {
            counts(workspace).withinRate++;
        }
    }

    @Override
    public void onFirstToken(Node node, long requestId) {
        TrackedRequest request = open.get(key(node, requestId));
        if (request != null && request.firstTokenMillis < 0) {
            request.firstTokenMillis = queue.nowMillis() - request.arrivedAtMillis;
            if (request.counted) {
                firstTokens.add(request.firstTokenMillis);
            }
        }
    }

    @Override
    public void onGap(Node node, long requestId, double millis) {
        TrackedRequest request = open.get(key(node, requestId));
        if (request == null) {
            return;
        }
        request.gaps++;
        request.goodGaps += millis <= MAX_GAP_MILLIS ? 1 : 0;
        if (request.counted) {
            gaps.add(millis);
        }
    }

    @Override
    public void onCompleted(Node node, AttemptId attempt) {
        TrackedRequest request = open.remove(key(node, attempt.requestId()));
        if (request == null || !request.counted) {
            return;
        }
        counts(request.workspace).answered++;
        boolean inTime = request.firstTokenMillis >= 0 && request.firstTokenMillis <= MAX_FIRST_TOKEN_MILLIS;
        boolean smooth = request.goodGaps >= REQUIRED_GAP_SHARE * request.gaps;
        if (request.withinRate && inTime && smooth) {
            counts(request.workspace).attained++;
        }
    }

    @Override
    public void onRefused(Node node, long requestId, Refusal refusal) {
        TrackedRequest request = open.remove(key(node, requestId));
        if (request == null || !request.counted) {
            return;
        }
        refusals.merge(refusal.code(), 1, Integer::sum);
        if (!request.withinRate) {
            return;
        }
        if (refusal.code() == RefusalCode.OVER_RATE) {
            counts(request.workspace).refusedOverRate++;
        } else {
            counts(request.workspace).refusedOtherwise++;
        }
    }

    /** Removes the open requests of a node that was killed, whose callers lost their connections. */
    void lost(Node node) {
        String prefix = node.hostId() + "/" + node.incarnation() + "/";
        open.entrySet().removeIf(request -> {
            boolean gone = request.getKey().startsWith(prefix);
            if (gone && request.getValue().counted && request.getValue().withinRate) {
                counts(request.getValue().workspace).lost++;
            }
            return gone;
        });
    }

    Map<Integer, WorkspaceCounts> countsByWorkspace() {
        return countsByWorkspace;
    }

    Map<RefusalCode, Integer> refusals() {
        return refusals;
    }

    double firstTokenPercentile(double percentile) {
        return firstTokens.percentile(percentile);
    }

    double gapPercentile(double percentile) {
        return gaps.percentile(percentile);
    }

    private WorkspaceCounts counts(int workspace) {
        return countsByWorkspace.computeIfAbsent(workspace, number -> new WorkspaceCounts());
    }

    private static String key(Node node, long requestId) {
        return node.hostId() + "/" + node.incarnation() + "/" + requestId;
    }

    /** Collects values and computes percentiles. */
    private static final class Distribution {
        private double[] values = new double[1_024];
        private int size;
        private boolean sorted;

        void add(double value) {
            if (size == values.length) {
                values = Arrays.copyOf(values, size * 2);
            }
            values[size++] = value;
            sorted = false;
        }

        double percentile(double percentile) {
            if (size == 0) {
                return 0;
            }
            if (!sorted) {
                Arrays.sort(values, 0, size);
                sorted = true;
            }
            return values[Math.min(size - 1, (int) (size * percentile / 100))];
        }
    }
}
