package org.carobhoist.core.swap;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collection;
import org.apache.commons.codec.digest.MurmurHash3;
import org.carobhoist.core.common.InstanceId;

/**
 * Distributes the loads of one order over several waves, so that the engines of a model don't all
 * stop serving at the same time. The known engines are ranked by a hash of instance and fencing
 * number, so that their order differs from swap to swap. Consecutive ranks are assigned to
 * different waves, so with two or more engines, at least two waves are used.
 */
final class WaveSchedule {

  private WaveSchedule() {}

  /**
   * Returns the delay after the order from which the engine may load.
   *
   * @param self this engine
   * @param peers the known engines of the model; may or may not include this one
   */
  static Duration delay(
      InstanceId self, Collection<InstanceId> peers, WeightOrder order, SwapPolicy policy) {
    long rank = peers.stream().filter(p -> isBefore(p, self, order.fence())).count();
    return policy.waveInterval().multipliedBy(rank % policy.waves());
  }

  private static boolean isBefore(InstanceId a, InstanceId b, long fence) {
    int byHash = Integer.compare(hash(a, fence), hash(b, fence));
    return byHash == 0 ? a.compareTo(b) < 0 : byHash < 0;
  }

  private static int hash(InstanceId instance, long fence) {
    byte[] bytes = (instance.value() + "#" + fence).getBytes(StandardCharsets.UTF_8);
    return MurmurHash3.hash32x86(bytes);
  }
}
