package org.carobhoist.trainer;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.carobhoist.core.rollout.GroupCursor;

/**
 * The trainer's side of one step. Holds the cursor, which is the commit point of the delivery: a
 * page is accepted only if it responds to exactly this cursor and was checked against the trainer's
 * current weight version. Any other page is dropped, so that every group is delivered exactly once.
 */
public final class StepSession {

  private final String profile;
  private final String trainer;
  private final String step;
  private final int samplesPerGroup;
  private final int maxTokens;
  private final List<StepRequestMessage.Group> groups;
  private final Map<Integer, StepPageMessage.Group> received = new TreeMap<>();
  private GroupCursor cursor;
  private long weightVersion;
  private boolean prepare;

  private StepSession(StepRequestMessage first) {
    this.profile = first.profile();
    this.trainer = first.trainer();
    this.step = first.step();
    this.samplesPerGroup = first.samplesPerGroup();
    this.maxTokens = first.maxTokens();
    this.groups = List.copyOf(first.groups());
    this.weightVersion = first.weightVersion();
    this.prepare = first.prepare();
    this.cursor = first.cursor() == null ? GroupCursor.empty() : GroupCursor.parse(first.cursor());
  }

  /**
   * Starts the session of a step from its first request. A trainer that replaces another one
   * resumes from the stored cursor and passes all groups of the step.
   */
  public static StepSession start(StepRequestMessage first) {
    return new StepSession(first);
  }

  /** Sets the trainer's current weight version. */
  public void advanceVersion(long version) {
    weightVersion = version;
  }

  /** Sets whether further requests only prepare samples, without returning them. */
  public void setPrepare(boolean value) {
    prepare = value;
  }

  /** Returns the cursor, which the trainer must store together with the groups it has received. */
  public GroupCursor cursor() {
    return cursor;
  }

  /** Returns the next request, for the groups that are still missing. */
  public StepRequestMessage nextRequest(long waitMillis) {
    List<StepRequestMessage.Group> missing =
        groups.stream().filter(g -> !cursor.holds(g.group())).toList();
    return new StepRequestMessage(
        profile,
        trainer,
        step,
        weightVersion,
        samplesPerGroup,
        maxTokens,
        cursor.format(),
        missing,
        waitMillis,
        prepare);
  }

  /**
   * Processes a page.
   *
   * @return the groups that are new, or empty if the page was dropped
   */
  public Optional<List<StepPageMessage.Group>> offer(StepPageMessage page) {
    boolean matchesStep =
        page.profile().equals(profile)
            && page.trainer().equals(trainer)
            && page.step().equals(step);
    if (!matchesStep
        || !page.cursor().equals(cursor.format())
        || page.weightVersion() != weightVersion) {
      return Optional.empty();
    }
    List<StepPageMessage.Group> added = new ArrayList<>();
    for (StepPageMessage.Group group : page.groups()) {
      if (!cursor.holds(group.group()) && group.samples().size() == samplesPerGroup) {
        cursor = cursor.with(group.group());
        received.put(group.group(), group);
        added.add(group);
      }
    }
    return Optional.of(added);
  }

  /** Returns whether every group has been received. */
  public boolean isComplete() {
    return groups.stream().allMatch(g -> cursor.holds(g.group()));
  }

  /** Returns the groups that this session has received, without those of an earlier session. */
  public List<StepPageMessage.Group> groups() {
    return List.copyOf(received.values());
  }
}
