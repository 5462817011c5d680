package org.carobhoist.core.duty;

import java.util.Optional;

/** The interface through which {@link DutyCaller} gets and sends the calls of a duty. */
public interface DutyPort {

  /** Returns the next call; the same one until it has been accepted. */
  Optional<DutyCall> nextCall();

  /**
   * Sends a call; its answer is passed to {@link DutyCaller#onAnswer}.
   *
   * @param number number of the attempt, unique in the process
   * @param term the fencing number
   */
  void send(long number, long term, DutyCall call);

  /**
   * Called when a call was accepted.
   *
   * @param attempts how often it was sent in this term
   */
  void onAccepted(DutyCall call, int attempts);

  /** Called when a call got no usable answer and will be repeated. */
  void onUnanswered(DutyCall call, int attempts);

  /** Called when the platform has seen a higher fencing number than this term. */
  void onFenced(long term);
}
