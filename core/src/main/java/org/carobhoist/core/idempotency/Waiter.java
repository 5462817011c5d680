package org.carobhoist.core.idempotency;

import org.carobhoist.core.common.Refusal;

/**
 * Receives the outcome of a keyed request. Exactly one of the methods is called, exactly once.
 *
 * @param <A> type of the answers
 */
public interface Waiter<A> {

  /** Called with the complete answer after the request has run. */
  void onAnswer(A answer);

  /** Called if there is no answer; the refusal says whether the request may have run. */
  void onRefused(Refusal refusal);
}
