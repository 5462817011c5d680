package org.carobhoist.core.request;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class AnswerFramesTest {

  private final AnswerFrames frames = AnswerFrames.create();

  @Test
  void takesWholeAnswerAndOneHead() {
    assertThat(frames.onHead()).isTrue();
    assertThat(frames.onHead()).isFalse();
    assertThat(frames.onData(0)).isTrue();
    assertThat(frames.onData(1)).isTrue();
    assertThat(frames.onEnd(2)).isTrue();
  }

  @Test
  void refusesGapRepeatAndShortAnswer() {
    frames.onHead();
    assertThat(frames.onData(1)).isFalse();
    assertThat(frames.onData(0)).isTrue();
    assertThat(frames.onData(0)).isFalse();
    assertThat(frames.onEnd(2)).isFalse();
  }

  @Test
  void refusesDataAndEndBeforeTheHead() {
    assertThat(frames.onData(0)).isFalse();
    assertThat(frames.onEnd(0)).isFalse();
  }

  @Test
  void takesEachCallNumberOnce() {
    CallSequence calls = CallSequence.create();
    assertThat(calls.isNew(3)).isTrue();
    assertThat(calls.isNew(3)).isFalse();
    assertThat(calls.isNew(2)).isFalse();
    assertThat(calls.isNew(4)).isTrue();
  }
}
