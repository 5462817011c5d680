package org.carobhoist.core.profile;

import java.time.Duration;

/** Operations that a {@link ChangeSubmission} requests from its owner. */
public interface SubmissionPort {

  /** Appends the change to the log; a failure is reported to {@code onAppendFailed}. */
  void append(ProfileChange change);

  /** Runs a task once after a delay. */
  void after(Duration delay, Runnable task);

  /** Called when the outcome of the change has been read from the log. */
  void onSettled(FoldOutcome outcome);

  /** Called when the last attempt failed; the outcome is unknown and must be checked later. */
  void onGivenUp();
}
