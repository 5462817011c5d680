package org.carobhoist.core.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.carobhoist.core.job.ItemId;
import org.carobhoist.core.job.Job;
import org.carobhoist.core.job.JobId;
import org.carobhoist.core.job.JobView;
import org.carobhoist.core.placement.StepGroups.Plan;

/**
 * Orders the waiting items of all jobs of a service. It is designed for training steps that have
 * more items than the engines have slots, of which a few items are several times as long as the
 * others, and of which the trainer waits for a stated number of complete groups.
 *
 * <p>The items of wanted groups are ordered by slack: the time left until the step's deadline less
 * the expected time that the item takes. Long items and older steps therefore come first. A step
 * that can't be on time any more yields to those that can, except for a minimum share of the slots.
 * Items of groups that aren't wanted come last. Jobs that state no number of groups are placed
 * older job first, in a job longest item first.
 */
final class StepOrder {

  /**
   * The slots of a service are divided by the number of steps and by this number; each late step
   * gets at least that many, so that it ends in a bounded time.
   */
  private static final int LATE_SHARE_DIVISOR = 4;

  /**
   * Machine clocks may differ by this much. A job's age is measured from when this process first
   * saw it, unless it was accepted much earlier, by a former coordinator.
   */
  private static final Duration MAX_CLOCK_DIFFERENCE = Duration.ofSeconds(2);

  private static final Comparator<ItemState> OLDER_JOB_FIRST =
      Comparator.comparing(s -> s.job().head().acceptedAt());

  private final StepGroups groups;
  private final Map<JobId, FirstSight> firstSights = new HashMap<>();

  StepOrder(JobView view) {
    this.groups = new StepGroups(view);
  }

  /** Returns the waiting items in the order in which they should be placed. */
  List<ItemState> order(
      Collection<ItemState> waiting, Collection<EngineLoad> pool, Duration now, Instant wallTime) {
    Capacity capacity = Capacity.of(pool, now);
    Map<JobId, Step> steps = new LinkedHashMap<>();
    List<ItemState> plain = new ArrayList<>();
    for (ItemState s : waiting) {
      if (StepGroups.areStated(s.job())) {
        steps.computeIfAbsent(s.job().id(), id -> new Step(s.job())).add(s);
      } else {
        plain.add(s);
      }
    }
    pool.forEach(e -> e.items().forEach(s -> addRunning(s, steps)));
    plain.sort(OLDER_JOB_FIRST.thenComparing(longestFirst(capacity.tokensPerEvent)));
    forgetClosedJobs(now);
    steps.values().forEach(s -> s.plan(capacity, timeLeft(s.job, now, wallTime)));
    List<ItemState> out = new ArrayList<>(waiting.size());
    mergeOlderJobFirst(wantedItems(steps.values(), capacity), plain, out);
    steps.values().forEach(s -> out.addAll(s.plan.unwanted()));
    return out;
  }

  private static void addRunning(ItemState state, Map<JobId, Step> steps) {
    Step step = steps.get(state.job().id());
    if (step != null) {
      step.add(state);
      step.running++;
    }
  }

  static Comparator<ItemState> longestFirst(int tokensPerEvent) {
    return Comparator.comparingInt((ItemState s) -> s.eventsLeft(tokensPerEvent)).reversed();
  }

  /** Returns the waiting items of wanted groups: minimum shares of late steps first. */
  private static List<ItemState> wantedItems(Collection<Step> steps, Capacity capacity) {
    int lateShare = Math.max(1, capacity.slots / (LATE_SHARE_DIVISOR * Math.max(1, steps.size())));
    List<SlackItem> first = new ArrayList<>();
    List<SlackItem> onTime = new ArrayList<>();
    List<SlackItem> late = new ArrayList<>();
    for (Step step : steps) {
      List<SlackItem> wanted = step.wantedBySlack(capacity);
      if (step.isLate) {
        int share = Math.min(wanted.size(), Math.max(0, lateShare - step.running));
        first.addAll(wanted.subList(0, share));
        late.addAll(wanted.subList(share, wanted.size()));
      } else {
        onTime.addAll(wanted);
      }
    }
    onTime.sort(SlackItem.LEAST_FIRST);
    late.sort(SlackItem.LEAST_FIRST);
    first.addAll(onTime);
    first.addAll(late);
    return first.stream().map(SlackItem::item).toList();
  }

  /** Merges two ordered lists; at each position, the item of the older job comes first. */
  private static void mergeOlderJobFirst(
      List<ItemState> a, List<ItemState> b, List<ItemState> out) {
    int i = 0;
    int j = 0;
    while (i < a.size() || j < b.size()) {
      boolean takeA =
          j == b.size() || (i < a.size() && OLDER_JOB_FIRST.compare(a.get(i), b.get(j)) <= 0);
      out.add(takeA ? a.get(i++) : b.get(j++));
    }
  }

  /** Returns the time left until a job's deadline; negative if it has passed. */
  private Duration timeLeft(Job job, Duration now, Instant wallTime) {
    FirstSight sight = firstSights.computeIfAbsent(job.id(), id -> new FirstSight(job, now));
    Duration sinceSeen = now.minus(sight.at);
    Duration sinceAccepted =
        Duration.between(job.head().acceptedAt(), wallTime).minus(MAX_CLOCK_DIFFERENCE);
    Duration age = sinceSeen.compareTo(sinceAccepted) > 0 ? sinceSeen : sinceAccepted;
    return job.head().rules().deadline().minus(age);
  }

  private void forgetClosedJobs(Duration now) {
    firstSights.values().removeIf(s -> s.isOver(now));
    groups.retain(firstSights.keySet());
  }

  private record FirstSight(Job job, Duration at) {

    private boolean isOver(Duration now) {
      return !job.isOpen() || now.minus(at).compareTo(job.head().rules().retention()) > 0;
    }
  }

  /**
   * What the engines of a service can do.
   *
   * @param slots number of slots, free or not
   * @param secondsPerEvent mean time between two events of a run
   * @param tokensPerEvent number of tokens per event
   */
  private record Capacity(int slots, double secondsPerEvent, int tokensPerEvent) {

    private static Capacity of(Collection<EngineLoad> pool, Duration now) {
      int slots = pool.stream().mapToInt(e -> e.freeSlots() + e.items().size()).sum();
      double nanos =
          pool.stream().mapToLong(e -> e.eventInterval(now).toNanos()).average().orElse(0);
      int tokens = pool.stream().mapToInt(EngineLoad::tokensPerEvent).findFirst().orElse(1);
      return new Capacity(Math.max(1, slots), nanos / 1e9, tokens);
    }
  }

  private record SlackItem(ItemState item, double slackSeconds) {

    private static final Comparator<SlackItem> LEAST_FIRST =
        Comparator.comparingDouble(SlackItem::slackSeconds);
  }

  private final class Step {

    private final Job job;
    private final Map<ItemId, ItemState> known = new HashMap<>();
    private int running;
    private Plan plan;
    private double secondsLeft;
    private boolean isLate;

    private Step(Job job) {
      this.job = job;
    }

    private void add(ItemState state) {
      known.put(state.item().id(), state);
    }

    private void plan(Capacity capacity, Duration timeLeft) {
      plan = groups.plan(job, known, capacity.tokensPerEvent);
      secondsLeft = timeLeft.toMillis() / 1e3;
      double longest = plan.longestEvents() * capacity.secondsPerEvent;
      double withAllSlots = plan.totalEvents() * capacity.secondsPerEvent / capacity.slots;
      isLate = Math.max(longest, withAllSlots) > secondsLeft;
    }

    private List<SlackItem> wantedBySlack(Capacity capacity) {
      List<SlackItem> out = new ArrayList<>();
      for (ItemState s : plan.wanted()) {
        double duration = s.eventsLeft(capacity.tokensPerEvent) * capacity.secondsPerEvent;
        out.add(new SlackItem(s, secondsLeft - duration));
      }
      out.sort(SlackItem.LEAST_FIRST);
      return out;
    }
  }
}
