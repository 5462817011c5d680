package org.carobhoist.core.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.rollout.RolloutPolicy.SwapPolicy;

/**
 * Builds a sample from an engine's stream. Each chunk names the weight version that produced its
 * tokens; the tokens of a chunk without a version can't be attributed, so the attempt must be
 * abandoned. A change of version within the stream ends the attempt unless the swap policy is
 * {@link SwapPolicy#KEEP}; under {@link SwapPolicy#RESUME} the tokens from before the change remain
 * as a prefix for the next attempt. A stream without its end mark never gives a complete sample.
 */
public final class SampleAssembler {

  private final AttemptKey attempt;
  private final SwapPolicy swapPolicy;
  private final List<Integer> tokens = new ArrayList<>();
  private final List<VersionSpan> spans = new ArrayList<>();
  private final StringBuilder text = new StringBuilder();
  private Optional<WeightVersion> streamVersion = Optional.empty();
  private String finishReason = "";

  /** The result of adding a chunk. */
  public enum ChunkResult {
    /** The chunk was added to the sample. */
    YES,
    /** The engine named no version for the chunk; the attempt must be abandoned. */
    UNATTRIBUTED,
    /** The engine has changed its version, which ends the attempt; a prefix may remain. */
    SWAPPED
  }

  private SampleAssembler(AttemptKey attempt, SamplePrefix prefix, SwapPolicy swapPolicy) {
    this.attempt = attempt;
    this.swapPolicy = swapPolicy;
    tokens.addAll(prefix.tokens());
    spans.addAll(prefix.spans());
    text.append(prefix.text());
  }

  /** Creates an assembler that continues from a prefix. */
  public static SampleAssembler create(
      AttemptKey attempt, SamplePrefix prefix, SwapPolicy swapPolicy) {
    return new SampleAssembler(attempt, prefix, swapPolicy);
  }

  /**
   * Adds a chunk.
   *
   * @param version the weight version that the engine's stream names for this chunk
   */
  public ChunkResult add(List<Integer> chunk, String piece, Optional<WeightVersion> version) {
    if (chunk.isEmpty()) {
      text.append(piece);
      return ChunkResult.YES;
    }
    if (version.isEmpty()) {
      return ChunkResult.UNATTRIBUTED;
    }
    boolean swapped = streamVersion.isPresent() && !streamVersion.equals(version);
    if (swapped && swapPolicy != SwapPolicy.KEEP) {
      return ChunkResult.SWAPPED;
    }
    streamVersion = version;
    int from = tokens.size();
    tokens.addAll(chunk);
    text.append(piece);
    extend(version.get(), from);
    return ChunkResult.YES;
  }

  /** Called when the engine has given its reason for ending the generation. */
  public void onFinishReason(String reason) {
    finishReason = reason;
  }

  /** Returns the number of tokens so far, including those of the prefix. */
  public int size() {
    return tokens.size();
  }

  /** Returns the attempt's progress. */
  public RunningAttempt progress() {
    Optional<WeightVersion> oldest =
        spans.stream().map(VersionSpan::version).min(WeightVersion::compareTo);
    return new RunningAttempt(attempt, tokens.size(), oldest);
  }

  /** Returns the prefix from which another attempt can continue. */
  public SamplePrefix prefix() {
    if (swapPolicy == SwapPolicy.RESTART) {
      return SamplePrefix.NONE;
    }
    return new SamplePrefix(tokens, spans, text.toString());
  }

  /**
   * Returns the sample, or empty if the stream was cut short or has no tokens, and so no version to
   * attribute the sample to.
   *
   * @param sawEndMark whether the stream's end mark was received
   */
  public Optional<FinishedSample> finish(boolean sawEndMark) {
    if (!sawEndMark || finishReason.isEmpty() || tokens.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(new FinishedSample(attempt, tokens, spans, text.toString(), finishReason));
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
