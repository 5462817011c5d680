package org.carobhoist.core.idempotency;

import org.carobhoist.core.common.Refusal;

/**
 * Somebody who waits for the outcome of a keyed request; exactly one method is called, once.
 *
 * @param <A> the answers
 */
public interface Waiter<A> {

  /** The request has run and this is its whole answer. */
  void onAnswer(A answer);

  /** There is no answer. */
  void onRefused(Refusal refusal);
}
