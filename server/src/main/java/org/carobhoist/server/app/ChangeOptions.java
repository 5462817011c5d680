package org.carobhoist.server.app;

import picocli.CommandLine.Option;

/** Options of the commands that change a profile. */
final class ChangeOptions {

  @Option(
      names = "--expect",
      paramLabel = "REVISION",
      description = "Revision that the change is based on; default: the current one.")
  private Long expectedRevision;

  @Option(
      names = "--operator",
      paramLabel = "NAME",
      defaultValue = "${sys:user.name}",
      description = "Name of the operator; default: the user's name.")
  private String operator;

  @Option(
      names = "--wait",
      description = "Wait until the change is in force on every live process.")
  private boolean awaitPropagation;

  Long expectedRevision() {
    return expectedRevision;
  }

  String operator() {
    return operator;
  }

  boolean awaitPropagation() {
    return awaitPropagation;
  }
}
