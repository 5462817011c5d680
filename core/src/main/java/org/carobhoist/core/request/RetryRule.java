package org.carobhoist.core.request;

import org.carobhoist.core.common.Verdict;

/** Decides whether the verdicts so far permit a retry; tests replace it with a faulty rule. */
@FunctionalInterface
interface RetryRule {

  /** Returns whether the worst verdict over all attempts permits another attempt. */
  boolean allows(Verdict worstVerdict, boolean idempotent);
}
