package org.jackdawbeam.bench.decision;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.ToDoubleFunction;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Benchmarks scheduling decisions and prints the results as a table. */
@Command(
        name = "decisions",
        mixinStandardHelpOptions = true,
        description = "Runs the reducers of a whole deployment against emulated engines and measures attainment,"
                + " fairness, refusals and model loads. Values are means over the seeds, followed by half their range.")
public final class DecisionCommand implements Callable<Integer> {
    @Option(names = "--sites", split = ",", defaultValue = "riga,kochi", description = "riga, kochi.")
    private List<String> sites;

    @Option(names = "--scenarios", split = ",", description = "Scenarios to run; all by default.")
    private List<Scenario> scenarios = List.of(Scenario.values());

    @Option(names = "--variants", split = ",", defaultValue = "product,upper-bound", description = "Variants to run.")
    private List<String> variants;

    @Option(names = "--seeds", split = ",", defaultValue = "1,2,3", description = "Seeds (${DEFAULT-VALUE}).")
    private List<Long> seeds;

    @Option(names = "--threads", defaultValue = "4", description = "Number of concurrent runs (${DEFAULT-VALUE}).")
    private int threads;

    @Option(names = "--csv", description = "Prints the table as comma-separated values.")
    private boolean csv;

    @Option(
            names = "--check",
            description = "Exits with 1 if a stated target is missed; needs the variants product" + " and upper-bound.")
    private boolean check;

    @Option(names = "--plots", description = "Folder to which plots are written as PNG files.")
    private Path plots;

    @Option(names = "--refusals", description = "Also prints refusal counts by code.")
    private boolean showRefusals;

    private record Cell(Site site, Scenario scenario, Variant variant, List<Future<DecisionResult>> runs) {}

    @Override
    public Integer call() throws ExecutionException, InterruptedException {
        try (ExecutorService executor = Executors.newFixedThreadPool(threads)) {
            List<Cell> cells = new ArrayList<>();
            for (String site : sites) {
                for (Scenario scenario : scenarios) {
                    variants.forEach(variant -> cells.add(cell(executor, siteNamed(site), scenario, variant)));
                }
            }
            printHead();
            for (Cell cell : cells) {
                print(cell);
            }
            if (plots != null) {
                plot(cells);
            }
            return check && missesTargets(cells) ? 1 : 0;
        }
    }

    private void plot(List<Cell> cells) throws ExecutionException, InterruptedException {
        for (String site : sites) {
            Map<String, List<Double>> percentByVariant = new LinkedHashMap<>();
            for (Cell cell : cells) {
                if (cell.site().name().equals(site)) {
                    percentByVariant
                            .computeIfAbsent(cell.variant().name(), name -> new ArrayList<>())
                            .add(attainedPercent(results(cell)));
                }
            }
            AttainmentPlot.write(
                    plots, site, scenarios.stream().map(Scenario::name).toList(), percentByVariant);
        }
    }

    private static double attainedPercent(List<DecisionResult> results) {
        return results.stream()
                        .mapToDouble(DecisionResult::attainment)
                        .average()
                        .orElse(0)
                * 100;
    }

    private static boolean missesTargets(List<Cell> cells) throws ExecutionException, InterruptedException {
        boolean missed = false;
        for (Cell product : cells) {
            for (Cell reference : cells) {
                boolean pair = product.variant().name().equals("product")
                        && reference.variant().allModelsResident()
                        && product.site().equals(reference.site())
                        && product.scenario() == reference.scenario();
                missed |= pair && missesTargets(product, reference);
            }
        }
        return missed;
    }

    private static boolean missesTargets(Cell product, Cell reference) throws ExecutionException, InterruptedException {
        List<DecisionResult> results = results(product);
        List<DecisionResult> references = results(reference);
        boolean missed = false;
        for (int run = 0; run < results.size(); run++) {
            List<String> targets = DecisionTargets.missed(product.scenario(), results.get(run), references.get(run));
            for (String target : targets) {
                System.out.println("missed site=" + product.site().name() + " scenario=" + product.scenario() + " run="
                        + (run + 1) + " target=\"" + target + "\"");
                missed = true;
            }
        }
        return missed;
    }

    private static List<DecisionResult> results(Cell cell) throws ExecutionException, InterruptedException {
        List<DecisionResult> results = new ArrayList<>();
        for (Future<DecisionResult> run : cell.runs()) {
            results.add(run.get());
        }
        return results;
    }

    private Cell cell(ExecutorService executor, Site site, Scenario scenario, String variantName) {
        Variant variant = Variant.named(variantName);
        List<Future<DecisionResult>> runs = seeds.stream()
                .map(seed -> executor.submit(() -> DecisionRun.run(site, scenario, variant, seed)))
                .toList();
        return new Cell(site, scenario, variant, runs);
    }

    static Site siteNamed(String name) {
        return switch (name) {
            case "riga" -> Site.riga();
            case "kochi" -> Site.kochi();
            default -> throw new IllegalArgumentException("unknown site: " + name);
        };
    }

    private void printHead() {
        String columns = "site scenario variant attained% per-engine/s worst% over-rate% capacity% ttft50 ttft95 gap95"
                + " moves missing-ms events/request";
        System.out.println(
                csv
                        ? columns.replace(' ', ',')
                        : String.format(
                                "%-6s %-16s %-18s %-12s %-12s %-12s %-11s %-11s %-7s %-8s %-6s %-8s %-10s %s",
                                (Object[]) columns.split(" ")));
    }

    private void print(Cell cell) throws ExecutionException, InterruptedException {
        List<DecisionResult> results = results(cell);
        String format = csv
                ? "%s,%s,%s,%s,%s,%s,%s,%s,%s,%s,%s,%s,%s,%s"
                : "%-6s %-16s %-18s %-12s %-12s %-12s %-11s %-11s %-7s %-8s %-6s %-8s %-10s %s";
        System.out.println(String.format(
                Locale.ROOT,
                format,
                cell.site().name(),
                cell.scenario(),
                cell.variant().name(),
                figure(results, "%.2f", result -> result.attainment() * 100),
                figure(results, "%.2f", DecisionResult::attainedPerEngine),
                figure(results, "%.2f", result -> result.worstWorkspace() * 100),
                figure(results, "%.3f", result -> result.refusedInsideRate() * 100),
                figure(results, "%.2f", result -> result.refusedForCapacity() * 100),
                mean(results, "%.0f", DecisionResult::firstTokenP50),
                mean(results, "%.0f", DecisionResult::firstTokenP95),
                mean(results, "%.1f", DecisionResult::gapP95),
                mean(results, "%.1f", DecisionResult::modelMoves),
                mean(results, "%.0f", DecisionResult::unreachableMillis),
                mean(results, "%.1f", DecisionResult::eventsPerRequest)));
        if (showRefusals) {
            results.forEach(result -> System.out.println("  refusals " + result.refusals()));
        }
    }

    private String figure(List<DecisionResult> results, String format, ToDoubleFunction<DecisionResult> value) {
        double lowest = results.stream().mapToDouble(value).min().orElse(0);
        double highest = results.stream().mapToDouble(value).max().orElse(0);
        return mean(results, format, value) + "±" + String.format(Locale.ROOT, format, (highest - lowest) / 2);
    }

    private static String mean(List<DecisionResult> results, String format, ToDoubleFunction<DecisionResult> value) {
        double mean = results.stream().mapToDouble(value).average().orElse(0);
        return String.format(Locale.ROOT, format, mean);
    }
}
