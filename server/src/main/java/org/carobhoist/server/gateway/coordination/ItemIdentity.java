package org.carobhoist.server.gateway.coordination;

import java.util.Optional;
import org.carobhoist.core.manifest.Manifest;
import org.carobhoist.core.placement.RunOrder;
import org.carobhoist.platform.CallHeaders;

/** Decides which of an item's own headers may tell the engine who submitted it. */
final class ItemIdentity {

  private ItemIdentity() {}

  /**
   * Returns the order without headers of the item that name an account, if the manifest has
   * accounts and the job was submitted without one. For a job of an account the runner replaces
   * these headers; a runner may not have read the manifest yet, a coordinator has.
   */
  static RunOrder withoutForgedAccount(RunOrder order, Optional<Manifest> manifest) {
    boolean accountsEnabled = manifest.flatMap(Manifest::accounts).isPresent();
    return accountsEnabled && order.account().isEmpty()
        ? order.withItem(CallHeaders.withoutIdentity(order.item()))
        : order;
  }
}
