package org.carobhoist.core.rollout;

import java.util.List;
import java.util.OptionalDouble;
import org.carobhoist.core.common.WeightVersion;

/**
 * A complete sample with the weight versions that actually produced it.
 *
 * @param attempt the attempt that produced it
 * @param tokens the tokens generated
 * @param spans the weight versions of all tokens, in order and without gaps
 * @param text the text generated
 * @param finishReason why the engine stopped
 * @param score the scorer's result; empty if the sample was not scored
 */
public record FinishedSample(
    AttemptKey attempt,
    List<Integer> tokens,
    List<VersionSpan> spans,
    String text,
    String finishReason,
    OptionalDouble score) {

  /**
   * Checks that the spans cover the tokens.
   *
   * @throws IllegalArgumentException if a token has no version or more than one
   */
  public FinishedSample {
    SamplePrefix checked = new SamplePrefix(tokens, spans, text);
    tokens = checked.tokens();
    spans = checked.spans();
  }

  /** Creates a sample without a score. */
  public FinishedSample(
      AttemptKey attempt,
      List<Integer> tokens,
      List<VersionSpan> spans,
      String text,
      String finishReason) {
    this(attempt, tokens, spans, text, finishReason, OptionalDouble.empty());
  }

  /** Returns a copy of this sample with the given score. */
  public FinishedSample withScore(double value) {
    return new FinishedSample(attempt, tokens, spans, text, finishReason, OptionalDouble.of(value));
  }

  /** Returns the oldest version that produced a token; the sample must have at least one token. */
  public WeightVersion oldest() {
    return spans.stream().map(VersionSpan::version).min(WeightVersion::compareTo).orElseThrow();
  }
}
