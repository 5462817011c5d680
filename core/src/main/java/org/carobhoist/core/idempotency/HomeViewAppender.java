package org.carobhoist.core.idempotency;

import java.util.List;

/** Appends home views to the log for a {@link HomeViewRegistrar}. */
@FunctionalInterface
public interface HomeViewAppender {

  /** Appends a view with these members; success is only visible by reading it from the log. */
  void append(List<HomeMember> members);
}
