package org.carobhoist.core.request;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class ResponseFrameValidatorTest {

  private final ResponseFrameValidator frames = ResponseFrameValidator.create();

  @Test
  void acceptsCompleteResponseAndRejectsSecondHead() {
    assertThat(frames.onHead()).isTrue();
    assertThat(frames.onHead()).isFalse();
    assertThat(frames.onData(0)).isTrue();
    assertThat(frames.onData(1)).isTrue();
    assertThat(frames.onEnd(2)).isTrue();
  }

  @Test
  void rejectsGapDuplicateAndTruncatedResponse() {
    frames.onHead();
    assertThat(frames.onData(1)).isFalse();
    assertThat(frames.onData(0)).isTrue();
    assertThat(frames.onData(0)).isFalse();
    assertThat(frames.onEnd(2)).isFalse();
  }

  @Test
  void rejectsDataAndEndBeforeHead() {
    assertThat(frames.onData(0)).isFalse();
    assertThat(frames.onEnd(0)).isFalse();
  }

  @Test
  void rejectsDuplicateAndLateCallStarts() {
    CallStartFilter calls = CallStartFilter.create();
    assertThat(calls.acceptIfNew(3)).isTrue();
    assertThat(calls.acceptIfNew(3)).isFalse();
    assertThat(calls.acceptIfNew(2)).isFalse();
    assertThat(calls.acceptIfNew(4)).isTrue();
  }
}
