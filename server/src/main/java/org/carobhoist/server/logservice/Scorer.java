package org.carobhoist.server.logservice;

import java.util.concurrent.CompletableFuture;
import org.carobhoist.core.rollout.FinishedSample;

/** Client of the platform's service that scores samples. */
public interface Scorer {

  /** Scores a sample. Idempotent: repeated calls for the same attempt count once. */
  CompletableFuture<Double> score(String prompt, FinishedSample sample);
}
