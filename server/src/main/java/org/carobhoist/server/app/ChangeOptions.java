package org.carobhoist.server.app;

import picocli.CommandLine.Option;

/** Options of the commands that change a profile. */
final class ChangeOptions {

  @Option(
      names = "--expect",
      paramLabel = "REVISION",
      description = "Revision on which the change builds; default: the current one.")
  private Long expect;

  @Option(
      names = "--operator",
      paramLabel = "NAME",
      defaultValue = "${sys:user.name}",
      description = "Who makes the change; default: the user's name.")
  private String operator;

  @Option(
      names = "--wait",
      description = "Return only when the change is in force on every live process.")
  private boolean waits;

  Long expect() {
    return expect;
  }

  String operator() {
    return operator;
  }

  boolean waits() {
    return waits;
  }
}
