package org.carobhoist.core.profile;

import java.time.Duration;

/** What a {@link ChangeSubmission} can do. */
public interface SubmissionPort {

  /** Appends the change; a failure comes back through {@code onAppendFailed}. */
  void append(ProfileChange change);

  /** Runs a task once after a delay. */
  void after(Duration delay, Runnable task);

  /** The fate of the change is known, seen in the log. */
  void onSettled(FoldOutcome outcome);

  /** The log can't be reached for so long that the operator has to look again later. */
  void onGivenUp();
}
