package org.carobhoist.core.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.rollout.RolloutPolicy.SwapPolicy;

/**
 * Builds a sample from an engine's stream. Each chunk names the version that produced its tokens; a
 * chunk without one can't be attributed, so the attempt must be given up. A change of version
 * within the stream ends the attempt unless the profile keeps such samples; its tokens from before
 * the change remain as a prefix to go on from. A stream without its end mark is never whole.
 */
public final class SampleAssembler {

  private final AttemptKey attempt;
  private final SwapPolicy swapPolicy;
  private final List<Integer> tokens = new ArrayList<>();
  private final List<VersionSpan> spans = new ArrayList<>();
  private final StringBuilder text = new StringBuilder();
  private Optional<WeightVersion> streamVersion = Optional.empty();
  private String finishReason = "";

  /** What became of a chunk. */
  public enum Taken {
    /** It is part of the sample. */
    YES,
    /** The engine named no version for it: the attempt must be given up. */
    UNATTRIBUTED,
    /** The engine has changed version and the profile doesn't go on: give up with the prefix. */
    SWAPPED
  }

  private SampleAssembler(AttemptKey attempt, SamplePrefix prefix, SwapPolicy swapPolicy) {
    this.attempt = attempt;
    this.swapPolicy = swapPolicy;
    tokens.addAll(prefix.tokens());
    spans.addAll(prefix.spans());
    text.append(prefix.text());
  }

  /** Returns an assembler that goes on from a prefix. */
  public static SampleAssembler create(
      AttemptKey attempt, SamplePrefix prefix, SwapPolicy swapPolicy) {
    return new SampleAssembler(attempt, prefix, swapPolicy);
  }

  /**
   * Adds a chunk.
   *
   * @param version the version that the engine's stream names for this chunk
   */
  public Taken add(List<Integer> chunk, String piece, Optional<WeightVersion> version) {
    if (chunk.isEmpty()) {
      text.append(piece);
      return Taken.YES;
    }
    if (version.isEmpty()) {
      return Taken.UNATTRIBUTED;
    }
    boolean swapped = streamVersion.isPresent() && !streamVersion.equals(version);
    if (swapped && swapPolicy != SwapPolicy.KEEP) {
      return Taken.SWAPPED;
    }
    streamVersion = version;
    int from = tokens.size();
    tokens.addAll(chunk);
    text.append(piece);
    extend(version.get(), from);
    return Taken.YES;
  }

  /** Takes the reason that the engine gives for stopping. */
  public void onFinishReason(String reason) {
    finishReason = reason;
  }

  /** Returns the number of tokens so far, those of the prefix included. */
  public int size() {
    return tokens.size();
  }

  /** Returns how far the attempt has come. */
  public RunningAttempt progress() {
    Optional<WeightVersion> oldest =
        spans.stream().map(VersionSpan::version).min(WeightVersion::compareTo);
    return new RunningAttempt(attempt, tokens.size(), oldest);
  }

  /** Returns what another attempt can go on from. */
  public SamplePrefix prefix() {
    if (swapPolicy == SwapPolicy.RESTART) {
      return SamplePrefix.NONE;
    }
    return new SamplePrefix(tokens, spans, text.toString());
  }

  /**
   * Returns the sample, or empty if the stream was cut short or has no tokens that would name a
   * version.
   *
   * @param sawEndMark whether the stream ended with its end mark
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
