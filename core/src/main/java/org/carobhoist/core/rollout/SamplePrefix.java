package org.carobhoist.core.rollout;

import java.util.List;
import org.carobhoist.core.common.WeightVersion;

/**
 * The first tokens of a sample, with the weight versions that produced them, from which another
 * attempt can continue.
 *
 * @param tokens the tokens
 * @param spans the weight versions of all tokens, in order and without gaps
 * @param text the text of the tokens
 */
public record SamplePrefix(List<Integer> tokens, List<VersionSpan> spans, String text) {

  /** The empty prefix, of an attempt that starts from the prompt. */
  public static final SamplePrefix NONE = new SamplePrefix(List.of(), List.of(), "");

  /**
   * Checks that the spans cover the tokens.
   *
   * @throws IllegalArgumentException if a token has no version or more than one
   */
  public SamplePrefix {
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

  /** Returns whether there are no tokens. */
  public boolean isEmpty() {
    return tokens.isEmpty();
  }

  /** Returns the oldest version that produced a token; there must be at least one token. */
  public WeightVersion oldest() {
    return spans.stream().map(VersionSpan::version).min(WeightVersion::compareTo).orElseThrow();
  }
}
