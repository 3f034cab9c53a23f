package org.jackdawbeam.bench.decision;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.jackdawbeam.model.error.ErrorCode;
import org.jackdawbeam.model.error.JackdawbeamException;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.style.Styler;

/** Plots the attainment of a site as a bar chart, grouped by scenario with one bar per variant. */
final class AttainmentPlot {
    private static final int WIDTH = 1_100;
    private static final int HEIGHT = 480;
    private static final int LABEL_ROTATION = 20;

    private AttainmentPlot() {}

    static void write(Path folder, String site, List<String> scenarios, Map<String, List<Double>> percentByVariant) {
        CategoryChart chart = new CategoryChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(site + ": requests whose first token and token gaps met their objectives")
                .yAxisTitle("attained, %")
                .build();
        chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideE);
        chart.getStyler().setXAxisLabelRotation(LABEL_ROTATION);
        chart.getStyler().setYAxisMin(0.0);
        chart.getStyler().setYAxisMax(100.0);
        percentByVariant.forEach((variant, percents) -> chart.addSeries(variant, scenarios, percents));
        try {
            BitmapEncoder.saveBitmap(
                    chart, folder.resolve("attainment-" + site + ".png").toString(), BitmapEncoder.BitmapFormat.PNG);
        } catch (IOException e) {
            throw new JackdawbeamException(ErrorCode.INTERNAL, "cannot write the plot", e);
        }
    }
}
