package org.carobhoist.server.settings;

/** Invalid entry settings must be refused with every fault listed. */
final class BrokenEntrySettingsTest extends BrokenDocumentCases {

  @Override
  protected DocumentKind kind() {
    return DocumentKind.ENTRY;
  }
}
