package org.carobhoist.core.swap;

import java.util.Optional;
import org.carobhoist.core.common.WeightVersion;

/** A simulated engine that executes orders, optionally checking their fencing numbers. */
final class SimulatedEngine {

  private final boolean checksFence;
  private final WeightVersion bootVersion;
  private Optional<WeightVersion> serves;
  private long highestFence;
  private boolean failNextLoad;

  SimulatedEngine(boolean checksFence, long bootVersion) {
    this.checksFence = checksFence;
    this.bootVersion = new WeightVersion(bootVersion);
    this.serves = Optional.of(this.bootVersion);
  }

  Optional<WeightVersion> serves() {
    return serves;
  }

  void failNextLoad() {
    failNextLoad = true;
  }

  /** Restarts with the initial weights; the highest fencing number seen is lost. */
  void crash() {
    serves = Optional.of(bootVersion);
    highestFence = 0;
  }

  SwapEvent prefetch(WeightOrder order) {
    return rejects(order) ? SwapEvent.REFUSED : SwapEvent.DONE;
  }

  SwapEvent load(WeightOrder order) {
    if (rejects(order)) {
      return SwapEvent.REFUSED;
    }
    if (failNextLoad) {
      failNextLoad = false;
      serves = Optional.empty();
      return SwapEvent.FAILED;
    }
    serves = Optional.of(order.version());
    return SwapEvent.DONE;
  }

  private boolean rejects(WeightOrder order) {
    if (checksFence && order.fence() < highestFence) {
      return true;
    }
    highestFence = Math.max(highestFence, order.fence());
    return false;
  }
}
