package org.carobhoist.core.chart;

/** Thrown when a chart file is broken; the message names the chart and the state or event. */
public final class ChartException extends RuntimeException {

  ChartException(String message) {
    super(message);
  }
}
