package org.carobhoist.core.limit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.carobhoist.core.common.Clock;

/**
 * Decides which bodies of requests are read on, so that all of them fit into a {@link
 * BufferBudget}. A small body is counted whole at its start and never waits. A larger one is
 * counted whole before it is read on, or in doubling steps if its length isn't declared, and waits
 * unless that fits. While bodies wait, those that stall are refused, the largest first.
 */
public final class BodyAdmission {

  private final BufferBudget budget;
  private final BodyPolicy policy;
  private final Clock clock;
  private final Set<Body> incomplete = new LinkedHashSet<>();
  private final Set<Body> waiting = new LinkedHashSet<>();
  private final Map<BodyRefusal, Long> refusals = new EnumMap<>(BodyRefusal.class);
  private long pauses;

  private BodyAdmission(BufferBudget budget, BodyPolicy policy, Clock clock) {
    this.budget = budget;
    this.policy = policy;
    this.clock = clock;
  }

  /** Returns an admission without bodies; {@link #tick} must be called a few times per second. */
  public static BodyAdmission create(BufferBudget budget, BodyPolicy policy, Clock clock) {
    return new BodyAdmission(budget, policy, clock);
  }

  /**
   * Begins a body.
   *
   * @param declared the declared length, empty if there is none
   * @param maxBytes most bytes that the body may have
   */
  public Body open(OptionalLong declared, long maxBytes, BodyListener listener) {
    Body body = new Body(declared, maxBytes, listener);
    incomplete.add(body);
    body.buffer.add(Math.min(declared.orElse(policy.firstBytes()), policy.firstBytes()));
    return body;
  }

  /** Returns how often a body was paused. */
  public long pauses() {
    return pauses;
  }

  /** Returns how many bodies were refused for a cause. */
  public long refusals(BodyRefusal cause) {
    return refusals.getOrDefault(cause, 0L);
  }

  /** Refuses bodies that stall, wait too long or arrive too slowly, and resumes waiting ones. */
  public void tick() {
    Duration now = clock.elapsed();
    List.copyOf(incomplete).forEach(b -> b.checkRate(now));
    resumeWaiting();
    if (!waiting.isEmpty()) {
      refuseStalled(now);
      resumeWaiting();
    }
    for (Body b : List.copyOf(waiting)) {
      // The refusal of one body may resume others of the list.
      if (waiting.contains(b) && now.minus(b.waitingSince).compareTo(policy.maxWait()) >= 0) {
        b.refuse(BodyRefusal.WAIT);
      }
    }
  }

  private void refuseStalled(Duration now) {
    List<Body> holders = new ArrayList<>(incomplete);
    holders.removeIf(b -> b.buffer.sizeBytes() <= policy.firstBytes());
    // If all holders wait for each other, none gets further without the memory of the largest.
    boolean deadlock = waiting.containsAll(holders);
    holders.stream()
        .filter(b -> deadlock || b.isStalled(now))
        .max(Comparator.comparingLong((Body b) -> b.buffer.sizeBytes()))
        .ifPresent(b -> b.refuse(BodyRefusal.MEMORY));
  }

  private void resumeWaiting() {
    for (Body b : List.copyOf(waiting)) {
      if (waiting.contains(b) && b.grow()) {
        waiting.remove(b);
        b.lastBytesAt = clock.elapsed();
        b.startRatePeriod();
        b.listener.onResume();
      }
    }
  }

  /** One body, from the head of its request to the end of the response. */
  public final class Body {

    private final OptionalLong declared;
    private final long maxBytes;
    private final BodyListener listener;
    private final BufferBudget.Buffer buffer = budget.open(() -> drop(BodyRefusal.MEMORY));
    private Duration lastBytesAt = clock.elapsed();
    private Duration periodStart = clock.elapsed();
    private Duration waitingSince = Duration.ZERO;
    private long periodBytes;
    private long received;

    private Body(OptionalLong declared, long maxBytes, BodyListener listener) {
      this.declared = declared;
      this.maxBytes = maxBytes;
      this.listener = listener;
    }

    /**
     * Counts received bytes.
     *
     * @return whether the body may be read on; if not, it waits for {@link BodyListener#onResume}
     */
    public boolean onBytes(long bytes) {
      received += bytes;
      periodBytes += bytes;
      lastBytesAt = clock.elapsed();
      if (!incomplete.contains(this)) {
        return false;
      }
      if (mayRead() || grow()) {
        return true;
      }
      if (waiting.add(this)) {
        waitingSince = clock.elapsed();
        pauses++;
      }
      return false;
    }

    /** Returns the size up to which the body can be received without a further decision. */
    public long grantedBytes() {
      return declared.isPresent()
          ? Math.min(declared.getAsLong(), buffer.sizeBytes())
          : Math.min(maxBytes, buffer.sizeBytes());
    }

    /**
     * Called when the body is complete, before its request may run.
     *
     * @param factor memory that processing the request takes, as a multiple of the body
     * @return false if the memory for that is short, so that the request must be refused
     */
    public boolean complete(int factor) {
      incomplete.remove(this);
      waiting.remove(this);
      long largest = Math.max(received, budget.limitBytes() / 2);
      long wanted = Math.min(received * factor, largest) - buffer.sizeBytes();
      if (wanted > budget.freeBytes()) {
        refuse(BodyRefusal.MEMORY);
        return false;
      }
      buffer.keep();
      buffer.add(Math.max(0, wanted));
      return true;
    }

    /** Removes the body; may be called more than once. */
    public void close() {
      incomplete.remove(this);
      waiting.remove(this);
      buffer.close();
      resumeWaiting();
    }

    private boolean mayRead() {
      long held = buffer.sizeBytes();
      return declared.isPresent() && held >= declared.getAsLong()
          || received < held - policy.queueBytes();
    }

    /** Counts the rest of the body, or the next step of it, if that fits. */
    private boolean grow() {
      long held = buffer.sizeBytes();
      long wanted = declared.orElse(Math.min(2 * held, maxBytes + policy.queueBytes() + 1));
      long reserve = budget.limitBytes() / policy.reserveDivisor();
      boolean alone = held == budget.heldBytes();
      if (wanted - held > budget.freeBytes() - (alone ? 0 : reserve)) {
        return false;
      }
      buffer.add(wanted - held);
      return true;
    }

    private boolean isStalled(Duration now) {
      return !waiting.contains(this) && now.minus(lastBytesAt).compareTo(policy.stallTime()) >= 0;
    }

    private void startRatePeriod() {
      periodStart = clock.elapsed();
      periodBytes = 0;
    }

    private void checkRate(Duration now) {
      if (!incomplete.contains(this)
          || waiting.contains(this)
          || now.minus(periodStart).compareTo(policy.ratePeriod()) < 0) {
        return;
      }
      if (periodBytes < policy.minBytes()) {
        refuse(BodyRefusal.SLOW);
      } else {
        startRatePeriod();
      }
    }

    private void refuse(BodyRefusal cause) {
      buffer.close();
      drop(cause);
    }

    private void drop(BodyRefusal cause) {
      incomplete.remove(this);
      waiting.remove(this);
      refusals.merge(cause, 1L, Long::sum);
      listener.onRefused(cause);
    }
  }
}
