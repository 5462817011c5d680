package org.carobhoist.server.settings;

/** Broken settings of a sidecar are refused whole, each fault named. */
final class BrokenSidecarSettingsTest extends BrokenDocumentCases {

  @Override
  protected DocumentKind kind() {
    return DocumentKind.SIDECAR;
  }
}
