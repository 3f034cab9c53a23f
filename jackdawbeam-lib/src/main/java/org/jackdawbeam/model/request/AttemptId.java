package org.jackdawbeam.model.request;

/**
 * Identifies one attempt of a request at one target.
 *
 * @param requestId id of the request, unique within the process
 * @param number number of the attempt, starting at one
 */
public record AttemptId(long requestId, int number) {}
