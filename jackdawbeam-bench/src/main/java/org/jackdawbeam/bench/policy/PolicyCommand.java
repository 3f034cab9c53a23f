package org.jackdawbeam.bench.policy;

import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.LongStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Simulates days of the users' types of deployment and prints the share of requests served. */
@Command(
        name = "policy",
        mixinStandardHelpOptions = true,
        description = "Simulates days with the reducers of all entries over several seeds and prints the share of"
                + " the attainable credit that was earned, by day and kind of request.")
public final class PolicyCommand implements Callable<Integer> {
    @Option(names = "--seeds", defaultValue = "4", description = "Number of seeds per day (${DEFAULT-VALUE}).")
    private int seeds;

    @Option(names = "--day", description = "Simulates only this day.")
    private String dayName;

    @Option(names = "--site", description = "Simulates only this site.")
    private String siteName;

    @Option(
            names = "--load",
            description = "Simulates a steady day with all rates multiplied by this factor instead of the usual days.")
    private Double load;

    @Override
    public Integer call() {
        for (PolicySite site : PolicySite.all()) {
            if (siteName == null || siteName.equals(site.name())) {
                play(site);
            }
        }
        return 0;
    }

    private void play(PolicySite site) {
        double sum = 0;
        int days = 0;
        for (PolicyDay day : load == null ? PolicyDay.ALL : List.of(PolicyDay.steady(load))) {
            if (dayName != null && !dayName.equals(day.name())) {
                continue;
            }
            List<PolicyResult> results = LongStream.rangeClosed(1, seeds)
                    .parallel()
                    .mapToObj(seed -> PolicyRun.run(site, day, seed))
                    .toList();
            double credit = results.stream()
                    .mapToDouble(result -> result.credit(site))
                    .average()
                    .orElse(0);
            sum += credit;
            days++;
            System.out.println(line(site, day, results, credit));
        }
        System.out.printf(Locale.ROOT, "%-20s mean credit=%.3f%n", site.name(), sum / Math.max(1, days));
    }

    private static String line(PolicySite site, PolicyDay day, List<PolicyResult> results, double credit) {
        StringBuilder line = new StringBuilder(
                String.format(Locale.ROOT, "%-20s %-20s credit=%.3f", site.name(), day.name(), credit));
        for (RequestKind kind : site.kinds()) {
            PolicyResult.Counts sum = results.stream()
                    .map(result -> result.byKind().get(kind.name()))
                    .reduce(PolicyResult.Counts.none(), PolicyResult.Counts::plus);
            double part = results.stream()
                    .mapToDouble(result -> result.credit(kind))
                    .average()
                    .orElse(0);
            line.append(String.format(
                    Locale.ROOT,
                    "  %s=%.3f (late %.1f%% paused %.1f%% refused %.1f%% failed %.1f%% large/all %.2f)",
                    kind.name(),
                    part,
                    percent(sum.late(), sum),
                    percent(sum.paused(), sum),
                    percent(sum.refused(), sum),
                    percent(sum.failed(), sum),
                    PolicyResult.servedShares(results, kind).worstRatio()));
        }
        double orders =
                results.stream().mapToInt(PolicyResult::orders).average().orElse(0);
        double held = results.stream()
                .mapToDouble(PolicyResult::residentModels)
                .average()
                .orElse(0);
        return line.append(String.format(Locale.ROOT, "  orders=%.0f held=%.2f", orders, held))
                .toString();
    }

    private static double percent(int part, PolicyResult.Counts sum) {
        return 100.0 * part / Math.max(1, sum.ended());
    }
}
