package org.carobhoist.core.manifest;

import java.util.Optional;

/** Holds the newest manifest that a process has read; ignores an older one that is read late. */
public final class ManifestHolder {

  private Optional<Manifest> newest = Optional.empty();

  private ManifestHolder() {}

  /** Returns a holder without a manifest. */
  public static ManifestHolder create() {
    return new ManifestHolder();
  }

  /** Replaces the current manifest if the given one is newer; returns whether it was replaced. */
  public boolean offer(Manifest manifest) {
    if (newest.isPresent() && newest.get().version() >= manifest.version()) {
      return false;
    }
    newest = Optional.of(manifest);
    return true;
  }

  /** Returns the current manifest; empty if none has been read yet. */
  public Optional<Manifest> current() {
    return newest;
  }
}
