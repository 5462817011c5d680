package org.carobhoist.server.settings;

/** Broken settings of an entry are refused whole, each fault named. */
final class BrokenEntrySettingsTest extends BrokenDocumentCases {

  @Override
  protected DocumentKind kind() {
    return DocumentKind.ENTRY;
  }
}
