package org.carobhoist.server.settings;

import java.util.Arrays;
import java.util.List;
import java.util.Set;

/** Kinds of INI documents that operators write. */
public enum DocumentKind {
  /** A profile. */
  PROFILE("a profile", Set.of("[profile]", "[rollout]", "[requests]")),
  /** The settings of a sidecar. */
  SIDECAR("settings of a sidecar", Set.of("[endpoint]", "[limits]")),
  /** The settings of an entry, which have the common sections only. */
  ENTRY("settings of an entry", Set.of());

  private final String title;
  private final Set<String> distinctiveSections;

  DocumentKind(String title, Set<String> distinctiveSections) {
    this.title = title;
    this.distinctiveSections = distinctiveSections;
  }

  /** Returns the kind as it is shown to users. */
  public String title() {
    return title;
  }

  /** Returns the kind of a document, detected from sections that only this kind has. */
  public static DocumentKind of(String text) {
    List<String> lines = text.lines().map(String::strip).toList();
    return Arrays.stream(values())
        .filter(kind -> lines.stream().anyMatch(kind.distinctiveSections::contains))
        .findFirst()
        .orElse(ENTRY);
  }
}
