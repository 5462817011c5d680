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

  private static final int WIDTH = 900;
  private static final int LEFT = 180;
  private static final int ROW = 18;
  private static final int BAR = 14;
  private static final int TOP = 30;
  private static final int KEY_WIDTH = 110;
  private static final String BOUND_COLOUR = "#000000";
  private static final String OWN_TIME_COLOUR = "#bdbdbd";

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
    new StepChart(xml, (double) (WIDTH - LEFT) / Math.max(1, longest)).draw(steps);
    xml.flush();
  }

  private void draw(List<StepLoss> steps) throws XMLStreamException {
    out.writeStartElement("svg");
    out.writeAttribute("xmlns", "http://www.w3.org/2000/svg");
    out.writeAttribute("width", Integer.toString(WIDTH));
    out.writeAttribute("height", Integer.toString(TOP + ROW * steps.size()));
    out.writeAttribute("font-size", "11");
    out.writeAttribute("font-family", "sans-serif");
    key();
    int y = TOP;
    for (StepLoss step : steps) {
      bar(step, y);
      y += ROW;
    }
    out.writeEndElement();
  }

  private void key() throws XMLStreamException {
    int x = LEFT;
    for (Cause cause : Cause.values()) {
      rectangle(x, 6, 10, colour(cause));
      text(x + 14, 15, cause.name().toLowerCase(Locale.ROOT));
      x += KEY_WIDTH;
    }
  }

  private void bar(StepLoss step, int y) throws XMLStreamException {
    text(4, y + BAR - 3, step.job());
    double x = LEFT;
    for (Cause cause : Cause.values()) {
      double width = width(step.loss(cause));
      rectangle(x, y, width, colour(cause));
      x += width;
    }
    double rest = LEFT + width(step.took()) - x;
    rectangle(x, y, Math.max(0, rest), OWN_TIME_COLOUR);
    rectangle(LEFT + width(step.bound()), y, 2, BOUND_COLOUR);
  }

  private double width(Duration time) {
    return time.toMillis() * pixelsPerMilli;
  }

  private void rectangle(double x, int y, double width, String colour) throws XMLStreamException {
    out.writeEmptyElement("rect");
    out.writeAttribute("x", number(x));
    out.writeAttribute("y", Integer.toString(y));
    out.writeAttribute("width", number(width));
    out.writeAttribute("height", Integer.toString(BAR));
    out.writeAttribute("fill", colour);
  }

  private void text(double x, int y, String content) throws XMLStreamException {
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
