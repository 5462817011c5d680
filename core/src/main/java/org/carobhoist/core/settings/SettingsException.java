package org.carobhoist.core.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown when an INI document is invalid; carries every problem that was found. */
public final class SettingsException extends Exception {

  private final transient List<SettingsProblem> problems;

  /** Creates an exception for one or more problems. */
  public SettingsException(List<SettingsProblem> problems) {
    super(problems.stream().map(SettingsProblem::toString).collect(Collectors.joining("\n")));
    this.problems = List.copyOf(problems);
  }

  /** Returns the problems, at least one. */
  public List<SettingsProblem> problems() {
    return problems;
  }
}
