package org.carobhoist.core.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.carobhoist.core.common.WeightVersion;

/**
 * Builds a sample from an engine's stream. Each chunk names the version that produced its tokens; a
 * chunk without one can't be attributed, so the attempt must be given up.
 */
public final class SampleAssembler {

  private final AttemptKey attempt;
  private final List<Integer> tokens = new ArrayList<>();
  private final List<VersionSpan> spans = new ArrayList<>();
  private final StringBuilder text = new StringBuilder();

  private SampleAssembler(AttemptKey attempt) {
    this.attempt = attempt;
  }

  /** Returns an assembler with no tokens. */
  public static SampleAssembler create(AttemptKey attempt) {
    return new SampleAssembler(attempt);
  }

  /**
   * Adds a chunk; returns false if the engine named no version for its tokens.
   *
   * @param version the version that the engine's stream names for this chunk
   */
  public boolean add(List<Integer> chunk, String piece, Optional<WeightVersion> version) {
    if (chunk.isEmpty()) {
      text.append(piece);
      return true;
    }
    if (version.isEmpty()) {
      return false;
    }
    int from = tokens.size();
    tokens.addAll(chunk);
    text.append(piece);
    extend(version.get(), from);
    return true;
  }

  /** Returns the number of tokens so far. */
  public int size() {
    return tokens.size();
  }

  /** Returns the sample, once the engine has marked its end. */
  public FinishedSample finish(String reason) {
    return new FinishedSample(attempt, tokens, spans, text.toString(), reason);
  }

  private void extend(WeightVersion version, int from) {
    int last = spans.size() - 1;
    if (last >= 0 && spans.get(last).version().equals(version)) {
      spans.set(last, new VersionSpan(version, spans.get(last).from(), tokens.size()));
      return;
    }
    spans.add(new VersionSpan(version, from, tokens.size()));
  }
}
