package org.carobhoist.core.swap;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.WeightVersion;
import org.junit.jupiter.api.Test;

/** Checks that loads are spread evenly over waves, and that the last wave starts in time. */
final class WaveScheduleTest {

  private static final Duration MAX_SWAP_TIME = Duration.ofSeconds(13);
  private static final List<Integer> SIZES = List.of(2, 3, 4, 8, 75, 600);

  @Test
  void neverStopsAllEnginesAtOnce() {
    for (int n : SIZES) {
      for (long fence = 1; fence <= 50; fence++) {
        Map<Duration, Long> waves = waves(n, fence);
        long largest = waves.values().stream().mapToLong(Long::longValue).max().orElseThrow();
        int inUse = Math.min(n, SwapPolicy.DEFAULT.waves());
        assertThat(largest).isEqualTo((n + inUse - 1) / inUse);
      }
    }
  }

  @Test
  void lastWaveLeavesTimeToLoad() {
    SwapPolicy p = SwapPolicy.DEFAULT;
    assertThat(p.waveInterval().multipliedBy(p.waves())).isLessThan(MAX_SWAP_TIME);
  }

  private static Map<Duration, Long> waves(int n, long fence) {
    List<InstanceId> peers =
        IntStream.range(0, n).mapToObj(i -> new InstanceId("engine-" + i)).toList();
    WeightOrder order = new WeightOrder(SwapSimulation.MODEL, new WeightVersion(2), fence);
    return peers.stream()
        .collect(
            Collectors.groupingBy(
                self -> WaveSchedule.delay(self, peers, order, SwapPolicy.DEFAULT),
                Collectors.counting()));
  }
}
