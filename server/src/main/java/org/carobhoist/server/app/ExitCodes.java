package org.carobhoist.server.app;

/** Exit codes of the command line. */
final class ExitCodes {

  /** The command did what it should. */
  static final int DONE = 0;

  /** The command failed. */
  static final int FAILED = 1;

  /** The command line or a settings file is wrong. */
  static final int USAGE = 2;

  /** Another operator's change came first. */
  static final int CONFLICT = 3;

  private ExitCodes() {}
}
