package org.carobhoist.core.idempotency;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;

/**
 * The most recent home views of one service, in log order. The newest record always takes effect,
 * whichever view it was derived from, so a reader that has seen older records and one that hasn't
 * agree on the current view.
 *
 * <p>The history also gives the start of a tenure, the uninterrupted time for which one incarnation
 * of a sidecar has been the home of a key. Where records were missed or dropped, the oldest
 * remaining view counts as the start, which is never earlier than the actual one.
 */
public final class HomeHistory {

  private static final int MAX_VIEWS = 32;

  private final Deque<HomeView> views = new ArrayDeque<>();

  private HomeHistory() {}

  /** Returns a history without views. */
  public static HomeHistory create() {
    return new HomeHistory();
  }

  /** Appends the next view read from the log. */
  public void add(HomeView view) {
    views.addLast(view);
    if (views.size() > MAX_VIEWS) {
      views.removeFirst();
    }
  }

  /** Clears the history; called when records between the last read and the next are missing. */
  public void onGap() {
    views.clear();
  }

  /** Returns the newest view. */
  public Optional<HomeView> current() {
    return Optional.ofNullable(views.peekLast());
  }

  /** Returns the start of the member's current tenure as home of a key, or empty if it has none. */
  public Optional<Instant> homeSince(HomeMember member, IdempotencyKey key) {
    Optional<Instant> since = Optional.empty();
    for (Iterator<HomeView> it = views.descendingIterator(); it.hasNext(); ) {
      HomeView view = it.next();
      if (!HomeSelector.homeOf(view, key).filter(member::equals).isPresent()) {
        break;
      }
      since = Optional.of(view.time());
    }
    return since;
  }
}
