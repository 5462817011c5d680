package org.carobhoist.core.placement;

import java.util.Collection;
import java.util.Optional;
import org.carobhoist.core.common.WeightVersion;

/**
 * Decides which engines may run an item, as far as their weight versions matter. Every event must
 * have at least the job's minimum version; if the job requires a single version per text, a run
 * that continues a text needs the version of the text.
 */
final class VersionConstraint {

  private VersionConstraint() {}

  /** Returns whether all events of the item's text must have the same version. */
  static boolean needsSingleVersion(ItemState state) {
    return state.job().head().rules().singleVersion();
  }

  /**
   * Returns the version that the next run must use; empty unless the job requires a single version
   * per text and the text already has events.
   */
  static Optional<WeightVersion> requiredVersion(ItemState state) {
    return needsSingleVersion(state)
        ? state.text().versions().stream().findFirst()
        : Optional.empty();
  }

  /** Returns whether an engine's version allows it to continue the item's text. */
  static boolean allows(ItemState state, EngineLoad engine) {
    String model = state.job().content().model();
    Optional<WeightVersion> required = requiredVersion(state);
    return allowsFromStart(state, engine)
        && (required.isEmpty() || engine.version(model).equals(required.get()));
  }

  /** Returns whether an engine's version allows it to run the item from its first event. */
  static boolean allowsFromStart(ItemState state, EngineLoad engine) {
    String model = state.job().content().model();
    return model.isEmpty()
        || engine.version(model).compareTo(state.job().content().minVersion()) >= 0;
  }

  /**
   * Returns whether some engine has the version of the item's text or may still load it. Engines
   * only load newer versions, so one with a newer version never can.
   */
  static boolean isVersionReachable(ItemState state, Collection<EngineLoad> pool) {
    String model = state.job().content().model();
    return requiredVersion(state)
        .map(r -> pool.stream().anyMatch(e -> e.version(model).compareTo(r) <= 0))
        .orElse(true);
  }
}
