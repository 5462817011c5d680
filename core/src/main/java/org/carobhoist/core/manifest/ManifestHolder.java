package org.carobhoist.core.manifest;

import java.util.Optional;

/** The newest manifest that a process has seen. It never goes back, whatever a late read says. */
public final class ManifestHolder {

  private Optional<Manifest> newest = Optional.empty();

  private ManifestHolder() {}

  /** Returns a holder without a manifest. */
  public static ManifestHolder create() {
    return new ManifestHolder();
  }

  /** Takes a manifest; returns whether it is newer than the one in force. */
  public boolean offer(Manifest manifest) {
    if (newest.isPresent() && newest.get().version() >= manifest.version()) {
      return false;
    }
    newest = Optional.of(manifest);
    return true;
  }

  /** Returns the manifest in force; empty before the first one. */
  public Optional<Manifest> current() {
    return newest;
  }
}
