package org.carobhoist.core.profile;

import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import org.carobhoist.core.common.JitteredBackoff;
import org.carobhoist.core.common.ProfileName;

/** A simulated operator who reads the log, submits one change and waits for its outcome. */
final class SimOperator implements SubmissionPort, ReplicaListener {

  private static final Duration POLL = Duration.ofSeconds(1);
  private static final int ATTEMPTS = 20;

  private final ConfigSyncSimulation sim;
  private final String changeId;
  private final ConfigReplica replica = ConfigReplica.create(this);
  private final SplittableRandom random;
  private ChangeSubmission submission;
  private FoldOutcome outcome;
  private boolean gaveUp;

  SimOperator(ConfigSyncSimulation sim, String changeId, SplittableRandom random) {
    this.sim = sim;
    this.changeId = changeId;
    this.random = random;
  }

  /** Reads the log, waits for the given time, then submits a change valid for the state read. */
  void start(ProfileName name, Duration thinkTime, boolean retire) {
    readToEnd(() -> sim.queue().after(thinkTime, () -> submit(name, retire)));
  }

  Optional<FoldOutcome> outcome() {
    return Optional.ofNullable(outcome);
  }

  boolean isDone() {
    return outcome != null || gaveUp;
  }

  String changeId() {
    return changeId;
  }

  @Override
  public void append(ProfileChange change) {
    sim.log()
        .append(
            change,
            offset -> {
              if (offset < 0) {
                submission.onAppendFailed();
              } else {
                sim.acknowledge(this, offset);
              }
            });
  }

  @Override
  public void after(Duration delay, Runnable task) {
    sim.queue().after(delay, task);
  }

  @Override
  public void onSettled(FoldOutcome outcome) {
    this.outcome = outcome;
  }

  @Override
  public void onGivenUp() {
    gaveUp = true;
  }

  @Override
  public void onChange(long offset, ProfileChange change, FoldOutcome outcome) {
    if (submission != null) {
      submission.onChange(change, outcome);
    }
  }

  @Override
  public void onOpaqueRecord(LogItem item, OpaqueRecord record) {}

  @Override
  public void onSkipped(long offset, String reason) {}

  @Override
  public void onInstalled(ProfileSnapshot snapshot) {
    if (submission != null) {
      submission.onInstalled(snapshot);
    }
  }

  /** Reports the change as accepted before it was read back; used only to test the checks. */
  void reportAcceptedEarly(long offset) {
    Revision made = new Revision(offset);
    outcome = new FoldOutcome(FoldOutcome.Status.ACCEPTED, made, made, changeId, "", "");
  }

  private void readToEnd(Runnable next) {
    sim.log()
        .read(
            replica.readFrom(),
            Duration.ZERO,
            read -> {
              replica.onLog(read);
              boolean complete = !replica.hasGap() && replica.nextOffset() >= read.next();
              if (complete) {
                next.run();
              } else {
                sim.queue().after(POLL, () -> readToEnd(next));
              }
            },
            () -> sim.queue().after(POLL, () -> readToEnd(next)));
  }

  private void submit(ProfileName name, boolean retire) {
    Optional<ProfileEntry> entry = replica.fold().entry(name);
    boolean live = entry.flatMap(ProfileEntry::profile).isPresent();
    ProfileChange.Kind kind = ProfileChange.Kind.PUBLISH;
    if (live) {
      kind = retire ? ProfileChange.Kind.RETIRE : ProfileChange.Kind.CHANGE;
    }
    Revision base = entry.map(ProfileEntry::revision).orElse(Revision.NONE);
    ProfileChange change =
        new ProfileChange(
            changeId, kind, name, base, ConfigSyncSimulation.DOCUMENT, "op-" + changeId);
    JitteredBackoff backoff =
        JitteredBackoff.create(Duration.ofMillis(500), Duration.ofSeconds(8), random);
    submission = ChangeSubmission.create(this, change, backoff, ATTEMPTS);
    submission.start();
    follow();
  }

  private void follow() {
    if (!isDone()) {
      readToEnd(() -> sim.queue().after(POLL, this::follow));
    }
  }
}
