package org.carobhoist.core.rollout;

import java.util.List;
import org.carobhoist.core.common.WeightVersion;

/**
 * A whole sample with the weight versions that truly produced it.
 *
 * @param attempt the attempt that produced it
 * @param tokens the tokens generated
 * @param spans the versions of all tokens, in order and without gaps
 * @param text the text generated
 * @param finishReason why the engine stopped
 */
public record FinishedSample(
    AttemptKey attempt,
    List<Integer> tokens,
    List<VersionSpan> spans,
    String text,
    String finishReason) {

  /**
   * Checks that the spans cover the tokens.
   *
   * @throws IllegalArgumentException if a token has no version or two
   */
  public FinishedSample {
    tokens = List.copyOf(tokens);
    spans = List.copyOf(spans);
    int covered = 0;
    for (VersionSpan span : spans) {
      if (span.from() != covered) {
        throw new IllegalArgumentException("spans leave a gap at token " + covered);
      }
      covered = span.to();
    }
    if (covered != tokens.size()) {
      throw new IllegalArgumentException("spans cover " + covered + " of " + tokens.size());
    }
  }

  /** Returns the oldest version that produced a token; the sample must have at least one token. */
  public WeightVersion oldest() {
    return spans.stream().map(VersionSpan::version).min(WeightVersion::compareTo).orElseThrow();
  }
}
