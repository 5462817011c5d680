package org.carobhoist.core.placement;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Set;
import org.carobhoist.core.common.WeightVersion;
import org.junit.jupiter.api.Test;

final class RunTextTest {

  private static final WeightVersion V6 = new WeightVersion(6);
  private static final WeightVersion V7 = new WeightVersion(7);

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static String content(RunText text) {
    return new String(text.content(), StandardCharsets.UTF_8);
  }

  @Test
  void deltasTransferTextWithoutLossOrDuplicates() {
    RunText runner = RunText.empty();
    RunText coordinator = RunText.empty();
    RunText.Mark reported = runner.mark();
    for (int i = 1; i <= 5; i++) {
      runner.add(Integer.toString(i), bytes("e" + i), i < 4 ? V6 : V7);
      if (i % 2 == 0) {
        TextDelta delta = runner.deltaSince(reported);
        reported = runner.mark();
        assertThat(coordinator.append(delta)).isTrue();
        assertThat(coordinator.append(delta)).isTrue();
      }
    }
    assertThat(coordinator.append(runner.deltaSince(reported))).isTrue();
    assertThat(content(coordinator)).isEqualTo("e1\ne2\ne3\ne4\ne5");
    assertThat(coordinator.lastId()).isEqualTo("5");
    assertThat(coordinator.versions()).isEqualTo(Set.of(V6, V7));
    assertThat(content(RunText.fromDelta(coordinator.toDelta()))).isEqualTo(content(runner));
  }

  @Test
  void rejectsDeltaAfterGap() {
    RunText runner = RunText.empty();
    runner.add("1", bytes("a"), V6);
    RunText.Mark after = runner.mark();
    runner.add("2", bytes("b"), V6);
    RunText coordinator = RunText.empty();
    assertThat(coordinator.append(runner.deltaSince(after))).isFalse();
    assertThat(coordinator.eventCount()).isEqualTo(0);
  }

  @Test
  void wholeTextReplacesShorterText() {
    RunText runner = RunText.empty();
    runner.add("1", bytes("a"), V6);
    RunText coordinator = RunText.fromDelta(runner.toDelta());
    runner.add("2", bytes("b"), V6);
    runner.add("3", bytes("c"), V7);
    assertThat(coordinator.append(runner.toDelta())).isTrue();
    assertThat(content(coordinator)).isEqualTo("a\nb\nc");
    assertThat(coordinator.lastId()).isEqualTo("3");
    assertThat(coordinator.versions()).isEqualTo(Set.of(V6, V7));
  }

  @Test
  void countsEmptyEvents() {
    RunText runner = RunText.empty();
    runner.add("1", bytes(""), V6);
    runner.add("2", bytes(""), V6);
    RunText copy = RunText.fromDelta(runner.toDelta());
    copy.add("3", bytes("x"), V6);
    assertThat(content(copy)).isEqualTo("\n\nx");
    assertThat(copy.eventCount()).isEqualTo(3);
  }

  @Test
  void fitsOnlyIfEveryVersionIsAllowed() {
    RunText text = RunText.empty();
    assertThat(text.fits(V7, true)).isTrue();
    text.add("1", bytes("a"), V6);
    assertThat(text.fits(V6, true)).isTrue();
    assertThat(text.fits(V7, false)).isFalse();
    text.add("2", bytes("b"), V7);
    assertThat(text.fits(V6, false)).isTrue();
    assertThat(text.fits(V6, true)).isFalse();
  }
}
