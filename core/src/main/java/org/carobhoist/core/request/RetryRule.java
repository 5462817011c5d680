package org.carobhoist.core.request;

import org.carobhoist.core.common.Verdict;

/** Whether a request may be sent again after the attempts so far. */
@FunctionalInterface
interface RetryRule {

  /** Returns whether the worst verdict over all attempts allows another one. */
  boolean allows(Verdict worst, boolean idempotent);
}
