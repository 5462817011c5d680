package org.carobhoist.core.chart;

/** Thrown when a chart is invalid; the message names the chart and the state or event at fault. */
public final class ChartException extends RuntimeException {

  ChartException(String message) {
    super(message);
  }
}
