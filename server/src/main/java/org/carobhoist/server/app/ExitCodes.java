package org.carobhoist.server.app;

/** Exit codes of the command line. */
final class ExitCodes {

  /** The command succeeded. */
  static final int DONE = 0;

  /** The command failed. */
  static final int FAILED = 1;

  /** The command line, a settings file or a profile is invalid. */
  static final int USAGE = 2;

  /** The change conflicts with one that another operator made first. */
  static final int CONFLICT = 3;

  private ExitCodes() {}
}
