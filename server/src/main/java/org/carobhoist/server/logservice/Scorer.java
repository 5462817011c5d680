package org.carobhoist.server.logservice;

import java.util.concurrent.CompletableFuture;
import org.carobhoist.core.rollout.FinishedSample;

/** The platform's service that scores samples. */
public interface Scorer {

  /** Scores a sample; asking again about the same attempt is safe and counts once. */
  CompletableFuture<Double> score(String prompt, FinishedSample sample);
}
