package org.skylarkbend.replay.report;

import java.util.List;
import java.util.Locale;

/** An inline SVG plot with one line or one set of bars per policy. */
final class SvgPlot {
    private static final int WIDTH_PIXELS = 760;
    private static final int HEIGHT_PIXELS = 300;
    private static final int MARGIN_PIXELS = 60;
    private static final int GRID_LINES = 5;
    private static final List<String> COLOURS =
            List.of("#0b6e4f", "#74c69d", "#999999", "#c77d00", "#b3261e", "#1d4ed8");

    private final StringBuilder mSvg = new StringBuilder();
    private final double mMaxX;
    private final double mMaxY;

    SvgPlot(String xLabel, String yLabel, double maxX, double maxY) {
        mMaxX = Math.max(maxX, 1e-9);
        mMaxY = Math.max(maxY, 1e-9);
        add(
                "<svg viewBox=\"0 0 %d %d\" width=\"%d\" height=\"%d\" role=\"img\">",
                WIDTH_PIXELS, HEIGHT_PIXELS, WIDTH_PIXELS, HEIGHT_PIXELS);
        for (int i = 0; i <= GRID_LINES; i++) {
            grid(i);
        }
        text(WIDTH_PIXELS / 2.0, HEIGHT_PIXELS - 8, "middle", xLabel);
        text(4, 14, "start", yLabel);
    }

    /** Adds a line whose points start at {@code firstX} and are {@code stepX} apart. */
    void line(int index, String name, List<? extends Number> values, double firstX, double stepX) {
        StringBuilder points = new StringBuilder();
        for (int i = 0; i < values.size(); i++) {
            double yValue = Math.min(values.get(i).doubleValue(), mMaxY);
            points.append(format("%.1f,%.1f ", x(firstX + i * stepX), y(yValue)));
        }
        add(
                "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"2\" points=\"%s\"/>",
                colour(index), points);
        legend(index, name);
    }

    /** Adds a group of bars, one per policy. */
    void bars(int group, int groups, List<Double> values) {
        double groupPixels = (double) (WIDTH_PIXELS - 2 * MARGIN_PIXELS) / groups;
        double barPixels = groupPixels * 0.8 / values.size();
        for (int i = 0; i < values.size(); i++) {
            double left = MARGIN_PIXELS + group * groupPixels + i * barPixels;
            double top = y(Math.min(values.get(i), mMaxY));
            add(
                    "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" fill=\"%s\"/>",
                    left, top, barPixels, y(0) - top, colour(i));
        }
    }

    /** Labels a group of bars. */
    void groupName(int group, int groups, String name) {
        double groupPixels = (double) (WIDTH_PIXELS - 2 * MARGIN_PIXELS) / groups;
        double centre = MARGIN_PIXELS + (group + 0.4) * groupPixels;
        text(centre, HEIGHT_PIXELS - MARGIN_PIXELS + 16.0, "middle", name);
    }

    /** Adds the name of a policy in its colour to the legend. */
    void legend(int index, String name) {
        add(
                "<text x=\"%d\" y=\"14\" fill=\"%s\" font-size=\"11\">%s</text>",
                150 + index * 100, colour(index), HtmlReport.escape(name));
    }

    /** Returns the SVG element. */
    String toSvg() {
        return mSvg + "</svg>";
    }

    private void grid(int step) {
        double yValue = mMaxY * step / GRID_LINES;
        double xValue = mMaxX * step / GRID_LINES;
        add(
                "<line x1=\"%d\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" stroke=\"#ddd\"/>",
                MARGIN_PIXELS, WIDTH_PIXELS - MARGIN_PIXELS, y(yValue), y(yValue));
        text(MARGIN_PIXELS - 4.0, y(yValue), "end", format("%.4g", yValue));
        if (mMaxX > 1) {
            text(x(xValue), HEIGHT_PIXELS - MARGIN_PIXELS + 16.0, "middle", format("%.0f", xValue));
        }
    }

    private double x(double value) {
        return MARGIN_PIXELS + value / mMaxX * (WIDTH_PIXELS - 2 * MARGIN_PIXELS);
    }

    private double y(double value) {
        return HEIGHT_PIXELS - MARGIN_PIXELS - value / mMaxY * (HEIGHT_PIXELS - 2 * MARGIN_PIXELS);
    }

    private void text(double xPixels, double yPixels, String anchor, String text) {
        add(
                "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\" font-size=\"11\">%s</text>",
                xPixels, yPixels, anchor, HtmlReport.escape(text));
    }

    private void add(String format, Object... values) {
        mSvg.append(format(format, values)).append('\n');
    }

    private static String colour(int index) {
        return COLOURS.get(index % COLOURS.size());
    }

    private static String format(String format, Object... values) {
        return String.format(Locale.ROOT, format, values);
    }
}
