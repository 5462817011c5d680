package org.carobhoist.server.settings;

/** Invalid sidecar settings must be refused with every fault listed. */
final class BrokenSidecarSettingsTest extends BrokenDocumentCases {

  @Override
  protected DocumentKind kind() {
    return DocumentKind.SIDECAR;
  }
}
