package org.carobhoist.core.usage;

import org.carobhoist.core.common.InstanceId;

/** The interface through which {@link UsageCoordinator} answers gateways and logs decisions. */
public interface UsagePort {

  /**
   * Answers a report.
   *
   * @param offsetMillis what the gateway adds to its time of day
   * @param decidedThrough counts up to this window are no longer needed
   */
  void acknowledge(InstanceId gateway, long term, long offsetMillis, long decidedThrough);

  /** Called when the decision of a window is passed to the store; again if that fails. */
  void onDeciding(long window, int accounts, long requests);

  /** Called when a window's report was accepted. */
  void onReported(long window, int attempts, boolean late);

  /** Called when a window's report got no usable answer and will be repeated. */
  void onReportUnanswered(long window, int attempts);

  /** Called when the platform has seen a higher fencing number. */
  void onFenced(long term);

  /** Sends a report to the platform; the answer is passed to {@link UsageCoordinator#onAnswer}. */
  void send(long number, long term, byte[] body);
}
