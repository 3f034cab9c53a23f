package org.jackdawbeam.bench.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.jackdawbeam.model.request.Call.CompletionCall;

/** Generates a seeded workload with bursts, skewed and shifting popularity, shared prefixes and varying lengths. */
final class Workload {
    private static final double POPULARITY_EXPONENT = 0.9;
    private static final int BLOCK_TOKENS = 64;
    private static final int MAXIMUM_BLOCKS = 32;
    private static final int TEMPLATES = 3;
    private static final double SHARED_PREFIX_PROBABILITY = 0.7;
    private static final double ADAPTER_SHARE = 0.4;
    private static final double BURST_FACTOR = 2.5;
    private static final double BURST_SHARE = 0.15;
    private static final double MEAN_BURST_MILLIS = 2_500;

    private final Site site;
    private final Random random;
    private final double[] popularity;
    private final boolean[] bursting;

    /** A generated request and the workspace that sends it. */
    record DrawnRequest(int workspace, CompletionCall call) {}

    Workload(Site site, long seed) {
        this.site = site;
        this.random = new Random(seed);
        this.popularity = new double[site.models()];
        this.bursting = new boolean[site.weights().size()];
        for (int number = 0; number < popularity.length; number++) {
            popularity[number] = 1 / Math.pow(number + 1, POPULARITY_EXPONENT);
        }
    }

    /** Shifts popularity: the less popular half of the models gains a factor of ten, the other half drops to 50%. */
    void moveDemand() {
        for (int number = 0; number < popularity.length; number++) {
            boolean cold = number >= popularity.length / 2;
            popularity[number] *= cold ? 10 : 0.5;
        }
    }

    /** Starts or ends a burst of a workspace and returns the time until the next change. */
    double toggleBurst(int workspace) {
        bursting[workspace] = !bursting[workspace];
        double mean = bursting[workspace] ? MEAN_BURST_MILLIS : MEAN_BURST_MILLIS * (1 - BURST_SHARE) / BURST_SHARE;
        return -Math.log(1 - random.nextDouble()) * mean;
    }

    /** Returns the time until the next request of a workspace with the given mean request rate. */
    double nextArrivalMillis(int workspace, double perSecond) {
        double calm = perSecond / (1 + BURST_SHARE * (BURST_FACTOR - 1));
        double current = bursting[workspace] ? calm * BURST_FACTOR : calm;
        return -Math.log(1 - random.nextDouble()) * 1_000 / current;
    }

    DrawnRequest draw(int workspace) {
        int model = drawModel();
        int prompt = (int) Math.clamp(Math.exp(6.2 + 0.8 * random.nextGaussian()), 32, 4_000);
        int tokens = (int) Math.clamp(Math.exp(4.4 + 0.6 * random.nextGaussian()), 8, 600);
        return new DrawnRequest(
                workspace,
                new CompletionCall(drawName(model), prompt, prefixes(workspace, model, prompt), tokens, true));
    }

    private String drawName(int model) {
        int copies = (site.adapters() - model + site.models() - 1) / site.models();
        boolean adapter = copies > 0 && random.nextDouble() < ADAPTER_SHARE;
        return adapter ? Site.adapter(model + site.models() * random.nextInt(copies)) : Site.model(model);
    }

    private int drawModel() {
        double sum = 0;
        for (double weight : popularity) {
            sum += weight;
        }
        double drawn = random.nextDouble() * sum;
        for (int number = 0; number < popularity.length; number++) {
            drawn -= popularity[number];
            if (drawn <= 0) {
                return number;
            }
        }
        return popularity.length - 1;
    }

    private List<Long> prefixes(int workspace, int model, int promptTokens) {
        int blocks = Math.min(MAXIMUM_BLOCKS, promptTokens / BLOCK_TOKENS);
        boolean shares = random.nextDouble() < SHARED_PREFIX_PROBABILITY;
        int shared = shares ? (int) (blocks * (0.4 + 0.5 * random.nextDouble())) : 0;
        long common = ((long) workspace << 40) ^ ((long) model << 20) ^ random.nextInt(TEMPLATES);
        long own = random.nextLong();
        List<Long> hashes = new ArrayList<>();
        for (int block = 0; block < blocks; block++) {
            hashes.add(block < shared ? common * 1_000 + block : own + block);
        }
        return hashes;
    }
}
