package org.jackdawbeam.logic.queue;

import java.util.Optional;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePMap;

/**
 * Start-time fair queue of requests that wait for one pool of targets. Workspaces share the pool in proportion to their
 * weights. A workspace that exceeds its share delays only its own requests.
 *
 * @param waiting ids of waiting requests, ordered by start tag
 * @param positions start tag by request id
 * @param finishTags finish tag of the last request of each workspace
 * @param virtualTime highest start tag of the requests dequeued so far
 */
public record FairQueue(
        TreePMap<Position, Long> waiting,
        PMap<Long, Position> positions,
        PMap<String, Double> finishTags,
        double virtualTime) {

    /**
     * Position of a request in the queue.
     *
     * @param startTag virtual time at which the request may start
     * @param requestId id of the request, which breaks ties in order of arrival
     */
    public record Position(double startTag, long requestId) implements Comparable<Position> {
        @Override
        public int compareTo(Position other) {
            int byTag = Double.compare(startTag, other.startTag);
            return byTag != 0 ? byTag : Long.compare(requestId, other.requestId);
        }
    }

    /** Returns an empty queue. */
    public static FairQueue empty() {
        return new FairQueue(TreePMap.empty(), HashTreePMap.empty(), HashTreePMap.empty(), 0);
    }

    /** Returns the number of waiting requests. */
    public int size() {
        return positions.size();
    }

    /** Adds a request with the given cost and the weight of its workspace, usually the workspace's rate. */
    public FairQueue add(long requestId, String workspace, double cost, double weight) {
        double start = Math.max(virtualTime, finishTags.getOrDefault(workspace, 0.0));
        double finish = start + cost / weight;
        Position position = new Position(start, requestId);
        return new FairQueue(
                waiting.plus(position, requestId),
                positions.plus(requestId, position),
                finishTags.plus(workspace, finish),
                virtualTime);
    }

    /** Returns the id of the next request. */
    public Optional<Long> first() {
        return waiting.isEmpty()
                ? Optional.empty()
                : Optional.of(waiting.firstEntry().getValue());
    }

    /** Returns the number of requests ahead of the given one, or zero if it is not in the queue. */
    public int requestsBefore(long requestId) {
        Position position = positions.get(requestId);
        return position == null ? 0 : waiting.headMap(position).size();
    }

    /** Removes a request that is dispatched now and advances the virtual time. */
    public FairQueue start(long requestId) {
        Position position = positions.get(requestId);
        double time = position == null ? virtualTime : Math.max(virtualTime, position.startTag());
        FairQueue rest = remove(requestId);
        return new FairQueue(rest.waiting, rest.positions, rest.finishTags, time);
    }

    /** Removes a request without dispatching it. */
    public FairQueue remove(long requestId) {
        Position position = positions.get(requestId);
        if (position == null) {
            return this;
        }
        return new FairQueue(waiting.minus(position), positions.minus(requestId), finishTags, virtualTime);
    }
}
