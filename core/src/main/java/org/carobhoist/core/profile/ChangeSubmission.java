package org.carobhoist.core.profile;

import java.util.Optional;
import org.carobhoist.core.common.JitteredBackoff;
import org.carobhoist.core.common.ProfileName;

/**
 * Brings one change of an operator into the log and learns its fate. An answered append settles
 * nothing: the change is accepted only when the fold of the log says so. An append without an
 * answer may have taken effect; the same record is appended again until one of them is seen in the
 * log, which is safe since a change can be accepted only once. The first of them that is seen
 * decides.
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
   * Returns a submission that hasn't started.
   *
   * @param maxAttempts appends after which it gives up, at least 1
   */
  public static ChangeSubmission create(
      SubmissionPort port, ProfileChange change, JitteredBackoff backoff, int maxAttempts) {
    return new ChangeSubmission(port, change, backoff, maxAttempts);
  }

  /** Appends the change for the first time. */
  public void start() {
    append();
  }

  /** Returns whether the fate of the change is known or the submission has given up. */
  public boolean isSettled() {
    return settled;
  }

  /** An append failed, so that nobody knows whether it took effect. */
  public void onAppendFailed() {
    if (!settled) {
      port.after(backoff.next(), this::append);
    }
  }

  /** Takes what the fold made of any change. */
  public void onChange(ProfileChange seen, FoldOutcome outcome) {
    if (!settled && seen.changeId().equals(change.changeId())) {
      settle(outcome);
    }
  }

  /** The records that might have held the change are gone; the profile's state may still tell. */
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
