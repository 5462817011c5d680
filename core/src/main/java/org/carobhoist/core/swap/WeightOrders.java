package org.carobhoist.core.swap;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.common.WeightVersion;

/**
 * The orders in force, computed as a deterministic fold over the log: for each model, the order
 * with the newest version. Every process ignores an order for a version that is not newer than the
 * one in force. So if two controllers order the same version, the fencing number of the first order
 * applies.
 */
public final class WeightOrders {

  private final Map<ServiceName, WeightOrder> newest = new TreeMap<>();

  private WeightOrders() {}

  /** Creates the state for an empty log. */
  public static WeightOrders create() {
    return new WeightOrders();
  }

  /**
   * Applies an order; orders must be applied by ascending offset. Returns whether the order is now
   * in force.
   */
  public boolean apply(WeightOrder order) {
    WeightOrder known = newest.get(order.model());
    boolean newer =
        known == null
            || (order.fence() > known.fence() && order.version().compareTo(known.version()) > 0);
    if (newer) {
      newest.put(order.model(), order);
    }
    return newer;
  }

  /** Returns the order in force for a model. */
  public Optional<WeightOrder> order(ServiceName model) {
    return Optional.ofNullable(newest.get(model));
  }

  /** Returns the newest version ordered for a model; 0 if there is none. */
  public WeightVersion version(ServiceName model) {
    return order(model).map(WeightOrder::version).orElse(new WeightVersion(0));
  }

  /** Returns the orders in force of all models. */
  public Collection<WeightOrder> all() {
    return List.copyOf(newest.values());
  }
}
