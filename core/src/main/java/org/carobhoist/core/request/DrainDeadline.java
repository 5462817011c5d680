package org.carobhoist.core.request;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.carobhoist.core.common.Clock;

/**
 * The time at which a process that drains stops waiting for responses. From the moment it is set,
 * only requests are admitted whose time limit ends before it, because a request that was forwarded
 * may run until its time limit. Requests that are still open at the end are answered by the process
 * itself, so that their connections don't close without a response.
 */
public final class DrainDeadline {

  private final Clock clock;
  private final Set<Runnable> openRequests = new LinkedHashSet<>();
  private Optional<Duration> end = Optional.empty();

  private DrainDeadline(Clock clock) {
    this.clock = clock;
  }

  /** Creates the deadline of a process that isn't draining. */
  public static DrainDeadline create(Clock clock) {
    return new DrainDeadline(clock);
  }

  /**
   * Sets the time at which the process stops waiting for responses.
   *
   * @param remaining time until then
   */
  public void startIn(Duration remaining) {
    end = Optional.of(clock.elapsed().plus(remaining));
  }

  /**
   * Returns whether a request that starts now is certain to end before the process does.
   *
   * @param timeLimit time until the request is answered at the latest
   */
  public boolean admits(Duration timeLimit) {
    return end.isEmpty() || clock.elapsed().plus(timeLimit).compareTo(end.get()) <= 0;
  }

  /**
   * Adds an open request.
   *
   * @param answer answers the request if it is still open at the end
   * @return removes the request; to be called when it has been answered
   */
  public Runnable add(Runnable answer) {
    openRequests.add(answer);
    return () -> openRequests.remove(answer);
  }

  /** Answers all open requests and returns their number. */
  public int answerOpenRequests() {
    List<Runnable> open = List.copyOf(openRequests);
    openRequests.clear();
    open.forEach(Runnable::run);
    return open.size();
  }
}
