package org.carobhoist.server.settings;

/** Broken profiles are refused whole, each fault named. */
final class BrokenProfileTest extends BrokenDocumentCases {

  @Override
  protected DocumentKind kind() {
    return DocumentKind.PROFILE;
  }
}
