package org.carobhoist.core.manifest;

/**
 * A fault that a check has found in a manifest.
 *
 * @param severity whether the manifest can work as intended
 * @param where the entry, such as {@code route bookings}
 * @param message what is wrong with it
 */
public record ManifestFinding(Severity severity, String where, String message) {

  /** Severity of a finding. */
  public enum Severity {
    /** Requests that the entry describes can't be served. */
    ERROR,
    /** The entry has no effect, or contradicts another one. */
    WARNING
  }

  static ManifestFinding error(String where, String message) {
    return new ManifestFinding(Severity.ERROR, where, message);
  }

  static ManifestFinding warning(String where, String message) {
    return new ManifestFinding(Severity.WARNING, where, message);
  }
}
