package org.carobhoist.core.rollout;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.carobhoist.core.common.ProfileName;
import org.carobhoist.core.common.StepId;
import org.carobhoist.core.common.TrainerId;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.rollout.RolloutPolicy.SwapPolicy;
import org.junit.jupiter.api.Test;

/** Checks the version attribution and completeness of samples assembled from a stream. */
final class SampleAssemblerTest {

  private static final AttemptKey ATTEMPT =
      new AttemptKey(
          new SampleKey(
              new StepKey(new ProfileName("p"), new TrainerId("t"), new StepId("s")), 0, 0),
          1);

  @Test
  void recordsEveryVersionInOrder() {
    SampleAssembler a = assembler(SwapPolicy.KEEP);
    assertThat(a.add(List.of(1, 2), "ab", version(3))).isEqualTo(SampleAssembler.ChunkResult.YES);
    assertThat(a.add(List.of(3), "c", version(4))).isEqualTo(SampleAssembler.ChunkResult.YES);
    a.onFinishReason("stop");
    FinishedSample sample = a.finish(true).orElseThrow();
    assertThat(sample.spans()).containsExactly(span(3, 0, 2), span(4, 2, 3)).inOrder();
    assertThat(sample.oldest()).isEqualTo(new WeightVersion(3));
  }

  @Test
  void rejectsTokensWithoutVersion() {
    SampleAssembler a = assembler(SwapPolicy.KEEP);
    assertThat(a.add(List.of(1), "a", Optional.empty()))
        .isEqualTo(SampleAssembler.ChunkResult.UNATTRIBUTED);
    assertThat(a.prefix().isEmpty()).isTrue();
  }

  @Test
  void resumePolicyKeepsTokensFromBeforeTheSwap() {
    SampleAssembler a = assembler(SwapPolicy.RESUME);
    a.add(List.of(1, 2), "ab", version(3));
    assertThat(a.add(List.of(3), "c", version(4))).isEqualTo(SampleAssembler.ChunkResult.SWAPPED);
    assertThat(a.prefix()).isEqualTo(new SamplePrefix(List.of(1, 2), List.of(span(3, 0, 2)), "ab"));
    SampleAssembler next = SampleAssembler.create(ATTEMPT, a.prefix(), SwapPolicy.RESUME);
    assertThat(next.add(List.of(3), "c", version(4))).isEqualTo(SampleAssembler.ChunkResult.YES);
    next.onFinishReason("stop");
    FinishedSample sample = next.finish(true).orElseThrow();
    assertThat(sample.spans()).containsExactly(span(3, 0, 2), span(4, 2, 3)).inOrder();
    assertThat(sample.text()).isEqualTo("abc");
  }

  @Test
  void restartPolicyKeepsNothing() {
    SampleAssembler a = assembler(SwapPolicy.RESTART);
    a.add(List.of(1), "a", version(3));
    assertThat(a.add(List.of(2), "b", version(4))).isEqualTo(SampleAssembler.ChunkResult.SWAPPED);
    assertThat(a.prefix()).isEqualTo(SamplePrefix.NONE);
  }

  @Test
  void cutOrEmptyStreamGivesNoSample() {
    SampleAssembler a = assembler(SwapPolicy.KEEP);
    a.onFinishReason("stop");
    assertThat(a.finish(true)).isEmpty();
    a.add(List.of(1), "a", version(3));
    assertThat(a.finish(false)).isEmpty();
    assertThat(a.finish(true)).isPresent();
  }

  private static SampleAssembler assembler(SwapPolicy policy) {
    return SampleAssembler.create(ATTEMPT, SamplePrefix.NONE, policy);
  }

  private static Optional<WeightVersion> version(long number) {
    return Optional.of(new WeightVersion(number));
  }

  private static VersionSpan span(long version, int from, int to) {
    return new VersionSpan(new WeightVersion(version), from, to);
  }
}
