package org.carobhoist.server.report;

import java.io.Writer;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import javax.xml.stream.XMLOutputFactory;
import javax.xml.stream.XMLStreamException;
import javax.xml.stream.XMLStreamWriter;
import org.carobhoist.core.report.StepLoss;
import org.carobhoist.core.report.StepLoss.Cause;

/**
 * Draws steps as an SVG bar chart: one bar per step, with the time lost to each cause stacked from
 * the left, and a mark at the step's lower bound, where it would have ended without any loss.
 */
public final class StepChart {

  private static final int WIDTH_PX = 900;
  private static final int LEFT_PX = 180;
  private static final int ROW_HEIGHT_PX = 18;
  private static final int BAR_HEIGHT_PX = 14;
  private static final int TOP_PX = 30;
  private static final int LEGEND_ENTRY_WIDTH_PX = 110;
  private static final String BOUND_COLOUR = "#000000";
  private static final String REMAINING_TIME_COLOUR = "#bdbdbd";

  private final XMLStreamWriter out;
  private final double pixelsPerMilli;

  private StepChart(XMLStreamWriter out, double pixelsPerMilli) {
    this.out = out;
    this.pixelsPerMilli = pixelsPerMilli;
  }

  /** Writes the chart. */
  public static void write(List<StepLoss> steps, Writer to) throws XMLStreamException {
    XMLStreamWriter xml = XMLOutputFactory.newInstance().createXMLStreamWriter(to);
    long longest = steps.stream().mapToLong(s -> s.took().toMillis()).max().orElse(1);
    new StepChart(xml, (double) (WIDTH_PX - LEFT_PX) / Math.max(1, longest)).draw(steps);
    xml.flush();
  }

  private void draw(List<StepLoss> steps) throws XMLStreamException {
    out.writeStartElement("svg");
    out.writeAttribute("xmlns", "http://www.w3.org/2000/svg");
    out.writeAttribute("width", Integer.toString(WIDTH_PX));
    out.writeAttribute("height", Integer.toString(TOP_PX + ROW_HEIGHT_PX * steps.size()));
    out.writeAttribute("font-size", "11");
    out.writeAttribute("font-family", "sans-serif");
    drawLegend();
    int y = TOP_PX;
    for (StepLoss step : steps) {
      drawBar(step, y);
      y += ROW_HEIGHT_PX;
    }
    out.writeEndElement();
  }

  private void drawLegend() throws XMLStreamException {
    int x = LEFT_PX;
    for (Cause cause : Cause.values()) {
      drawRectangle(x, 6, 10, colour(cause));
      drawText(x + 14, 15, cause.name().toLowerCase(Locale.ROOT));
      x += LEGEND_ENTRY_WIDTH_PX;
    }
  }

  private void drawBar(StepLoss step, int y) throws XMLStreamException {
    drawText(4, y + BAR_HEIGHT_PX - 3, step.job());
    double x = LEFT_PX;
    for (Cause cause : Cause.values()) {
      double width = toPixels(step.loss(cause));
      drawRectangle(x, y, width, colour(cause));
      x += width;
    }
    double remaining = LEFT_PX + toPixels(step.took()) - x;
    drawRectangle(x, y, Math.max(0, remaining), REMAINING_TIME_COLOUR);
    drawRectangle(LEFT_PX + toPixels(step.bound()), y, 2, BOUND_COLOUR);
  }

  private double toPixels(Duration time) {
    return time.toMillis() * pixelsPerMilli;
  }

  private void drawRectangle(double x, int y, double width, String colour)
      throws XMLStreamException {
    out.writeEmptyElement("rect");
    out.writeAttribute("x", number(x));
    out.writeAttribute("y", Integer.toString(y));
    out.writeAttribute("width", number(width));
    out.writeAttribute("height", Integer.toString(BAR_HEIGHT_PX));
    out.writeAttribute("fill", colour);
  }

  private void drawText(double x, int y, String content) throws XMLStreamException {
    out.writeStartElement("text");
    out.writeAttribute("x", number(x));
    out.writeAttribute("y", Integer.toString(y));
    out.writeCharacters(content);
    out.writeEndElement();
  }

  private static String colour(Cause cause) {
    return switch (cause) {
      case WAITING -> "#e6550d";
      case SLOW -> "#3182bd";
      case LOADING -> "#756bb1";
      case RESUMED -> "#de2d26";
      case READING -> "#31a354";
    };
  }

  private static String number(double value) {
    return String.format(Locale.ROOT, "%.1f", value);
  }
}
