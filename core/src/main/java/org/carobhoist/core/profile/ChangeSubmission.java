package org.carobhoist.core.profile;

import java.util.Optional;
import org.carobhoist.core.common.JitteredBackoff;
import org.carobhoist.core.common.ProfileName;

/**
 * Appends an operator's change to the log and determines its outcome. A successful append is not
 * enough: a change is accepted only when the fold over the log accepts it. A failed append may
 * still have taken effect, so the same record is appended again until a copy is read back from the
 * log. This is safe since a change can be accepted only once. The first copy read back determines
 * the outcome.
 */
public final class ChangeSubmission {

  private final SubmissionPort port;
  private final ProfileChange change;
  private final JitteredBackoff backoff;
  private final int maxAttempts;
  private int attempts;
  private boolean settled;

  private ChangeSubmission(
      SubmissionPort port, ProfileChange change, JitteredBackoff backoff, int maxAttempts) {
    this.port = port;
    this.change = change;
    this.backoff = backoff;
    this.maxAttempts = maxAttempts;
  }

  /**
   * Returns a submission that has not been started.
   *
   * @param maxAttempts number of appends after which the submission gives up, at least 1
   */
  public static ChangeSubmission create(
      SubmissionPort port, ProfileChange change, JitteredBackoff backoff, int maxAttempts) {
    return new ChangeSubmission(port, change, backoff, maxAttempts);
  }

  /** Appends the change for the first time. */
  public void start() {
    append();
  }

  /** Returns whether the outcome of the change is known or the submission has given up. */
  public boolean isSettled() {
    return settled;
  }

  /** Called when an append has failed; it is unknown whether it took effect. */
  public void onAppendFailed() {
    if (!settled) {
      port.after(backoff.nextDelay(), this::append);
    }
  }

  /** Called with the outcome of each change that is read from the log. */
  public void onChange(ProfileChange seen, FoldOutcome outcome) {
    if (!settled && seen.changeId().equals(change.changeId())) {
      settle(outcome);
    }
  }

  /**
   * Called when a snapshot replaces records that may have included the change. The change was
   * accepted if the profile's entry in the snapshot has its id.
   */
  public void onInstalled(ProfileSnapshot snapshot) {
    entry(snapshot, change.profile())
        .filter(e -> !settled && e.changeId().equals(change.changeId()))
        .ifPresent(e -> settle(accepted(e)));
  }

  private void append() {
    if (settled) {
      return;
    }
    if (attempts == maxAttempts) {
      settled = true;
      port.onGivenUp();
      return;
    }
    attempts++;
    port.append(change);
  }

  private void settle(FoldOutcome outcome) {
    settled = true;
    port.onSettled(outcome);
  }

  private static Optional<ProfileEntry> entry(ProfileSnapshot snapshot, ProfileName name) {
    return snapshot.profiles().stream().filter(p -> p.name().equals(name)).findFirst();
  }

  private FoldOutcome accepted(ProfileEntry e) {
    return new FoldOutcome(
        FoldOutcome.Status.ACCEPTED, change.base(), e.revision(), e.changeId(), e.operator(), "");
  }
}
