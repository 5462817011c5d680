package org.carobhoist.server.sidecar;

import java.net.URI;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleConsumer;
import org.carobhoist.core.common.Callbacks;
import org.carobhoist.core.common.JitteredBackoff;
import org.carobhoist.core.rollout.FinishedSample;
import org.carobhoist.server.logservice.HttpScorer;
import org.carobhoist.server.logservice.Scorer;
import org.carobhoist.server.runtime.DecisionLoop;

/**
 * Requests scores of samples. A request that fails, or whose response is lost, is retried with the
 * same key, so that the scorer counts it once. Retries continue with backoff until one succeeds or
 * the sample is no longer wanted.
 */
final class SampleScorer {

  private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(200);
  private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(12_800);

  private final DecisionLoop loop;
  private final Map<URI, Scorer> scorers = new HashMap<>();
  private final SplittableRandom random = new SplittableRandom();

  private SampleScorer(DecisionLoop loop) {
    this.loop = loop;
  }

  static SampleScorer create(DecisionLoop loop) {
    return new SampleScorer(loop);
  }

  /**
   * Requests the score of a sample.
   *
   * @param wanted whether the sample is still wanted; if not, retries stop and the score is dropped
   * @param result receives the score, on the loop
   */
  void score(
      URI url,
      String prompt,
      FinishedSample sample,
      BooleanSupplier wanted,
      DoubleConsumer result) {
    JitteredBackoff backoff = JitteredBackoff.create(INITIAL_RETRY_DELAY, MAX_RETRY_DELAY, random);
    score(scorers.computeIfAbsent(url, HttpScorer::at), prompt, sample, wanted, result, backoff);
  }

  private void score(
      Scorer scorer,
      String prompt,
      FinishedSample sample,
      BooleanSupplier wanted,
      DoubleConsumer result,
      JitteredBackoff backoff) {
    if (!wanted.getAsBoolean()) {
      return;
    }
    scorer
        .score(prompt, sample)
        .whenCompleteAsync(
            Callbacks.reported(
                (score, failure) -> {
                  if (failure == null) {
                    onScore(score, wanted, result);
                    return;
                  }
                  loop.after(
                      backoff.nextDelay(),
                      () -> score(scorer, prompt, sample, wanted, result, backoff));
                }),
            loop);
  }

  private static void onScore(double score, BooleanSupplier wanted, DoubleConsumer result) {
    if (wanted.getAsBoolean()) {
      result.accept(score);
    }
  }
}
