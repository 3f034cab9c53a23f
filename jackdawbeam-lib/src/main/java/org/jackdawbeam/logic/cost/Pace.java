package org.jackdawbeam.logic.cost;

/**
 * How much longer work takes at one model or engine than at the others, learnt from answers as a mean of logarithms.
 *
 * @param logarithm mean natural logarithm of observed over expected time
 * @param variance variance of the observations around the mean
 * @param answers number of observations, up to the number that the mean remembers
 * @param learntAtMillis when the latest observation was made
 */
record Pace(double logarithm, double variance, int answers, long learntAtMillis) {
    private static final double INITIAL_VARIANCE = 0.25; // estimates of single answers are off by half
    private static final int REMEMBERED_ANSWERS = 20;
    private static final int MIN_ANSWERS = 3;
    private static final double MAX_LOGARITHM = Math.log(8); // more than that is a fault rather than a pace
    /** Deviations within two standard errors of the mean are taken for chance. */
    private static final double STANDARD_ERRORS = 2;

    private static final double HALF_LIFE_MILLIS = 20_000; // neighbours on a machine come and go

    static Pace unknown() {
        return new Pace(0, INITIAL_VARIANCE, 0, 0);
    }

    /** Returns the pace after an observation. */
    Pace with(double observedLogarithm, long nowMillis) {
        double observed = Math.clamp(observedLogarithm, -MAX_LOGARITHM, MAX_LOGARITHM);
        double before = remembered(nowMillis);
        double weight = 1.0 / (Math.min(answers, REMEMBERED_ANSWERS - 1) + 1);
        double deviation = observed - before;
        double spread = answers == 0 ? INITIAL_VARIANCE : variance + weight * (deviation * deviation - variance);
        return new Pace(before + weight * deviation, spread, Math.min(answers + 1, REMEMBERED_ANSWERS), nowMillis);
    }

    /** Returns the mean without regard to chance. */
    double mean(long nowMillis) {
        return answers < MIN_ANSWERS ? 0 : remembered(nowMillis);
    }

    /** Returns the part of the mean that chance does not explain; 0 where models or engines are alike. */
    double distinct(long nowMillis) {
        double mean = mean(nowMillis);
        double chance = STANDARD_ERRORS * STANDARD_ERRORS * variance / Math.max(1, answers);
        return mean == 0 ? 0 : mean * Math.max(0, 1 - chance / (mean * mean));
    }

    private double remembered(long nowMillis) {
        return logarithm * Math.pow(0.5, Math.max(0, nowMillis - learntAtMillis) / HALF_LIFE_MILLIS);
    }
}
