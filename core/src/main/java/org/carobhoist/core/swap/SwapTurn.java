package org.carobhoist.core.swap;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collection;
import org.apache.commons.codec.digest.MurmurHash3;
import org.carobhoist.core.common.InstanceId;

/**
 * Spreads the loads of one order over waves, so that the engines of a model don't all stop at once.
 * The engines known are ranked by a hash of instance and fencing number, which changes the order
 * from swap to swap; consecutive ranks go to different waves. With two engines or more, two waves
 * at least are in use, so never all of them load in one.
 */
final class SwapTurn {

  private SwapTurn() {}

  /**
   * Returns how long after the order the engine may load.
   *
   * @param self this engine
   * @param peers the engines of the model that are known; may lack this one
   */
  static Duration delay(
      InstanceId self, Collection<InstanceId> peers, WeightOrder order, SwapPolicy policy) {
    long rank = peers.stream().filter(p -> isBefore(p, self, order.fence())).count();
    return policy.waveTime().multipliedBy(rank % policy.waves());
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
