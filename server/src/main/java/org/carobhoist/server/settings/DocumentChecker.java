package org.carobhoist.server.settings;

import org.carobhoist.core.common.ProfileName;
import org.carobhoist.core.profile.ProfileReader;
import org.carobhoist.core.settings.SettingsException;
import org.carobhoist.core.settings.SettingsReader;

/** Validates documents in the same way as the processes that use them. */
public final class DocumentChecker {

  private static final ProfileName UNNAMED = new ProfileName("unnamed");

  private DocumentChecker() {}

  /**
   * Checks a document.
   *
   * @param file the document's file name, for messages
   * @throws SettingsException listing every fault, if the document is invalid
   */
  public static void check(DocumentKind kind, String file, String text) throws SettingsException {
    switch (kind) {
      case ENTRY -> SettingsLoader.parseEntry(file, text);
      case SIDECAR -> SettingsLoader.parseSidecar(file, text);
      case PROFILE -> checkProfile(file, text);
    }
  }

  private static void checkProfile(String file, String text) throws SettingsException {
    SettingsReader.read(file, text, ProfileReader.SPECS);
    ProfileReader.read(UNNAMED, text);
  }
}
