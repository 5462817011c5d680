package org.carobhoist.core.chart;

/**
 * Thrown when an action of a transition has thrown; the message names the chart, the action, the
 * event and the new state.
 */
public final class ActionFailedException extends RuntimeException {

  ActionFailedException(String message, Throwable cause) {
    super(message, cause);
  }
}
