package org.carobhoist.server.settings;

/** Invalid profiles must be refused with every fault listed. */
final class BrokenProfileTest extends BrokenDocumentCases {

  @Override
  protected DocumentKind kind() {
    return DocumentKind.PROFILE;
  }
}
