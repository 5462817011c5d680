package org.carobhoist.core.idempotency;

import java.util.List;

/** What a {@link HomeKeeper} asks of its surroundings. */
@FunctionalInterface
public interface HomePort {

  /** Appends a view with these members to the log; whether it succeeds shows in the log itself. */
  void append(List<HomeMember> members);
}
