package org.carobhoist.core.idempotency;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;

/**
 * The newest home views of one service, in the log's order. The newest record is in force, whatever
 * it was built on, so that two readers of which one has seen older records can't disagree. From the
 * history follows since when a run has been home of a key without a break; where records have been
 * missed or dropped, the oldest one left counts as the start, which is never too early.
 */
public final class HomeHistory {

  private static final int MAX_VIEWS = 32;

  private final Deque<HomeView> views = new ArrayDeque<>();

  private HomeHistory() {}

  /** Returns a history without views. */
  public static HomeHistory create() {
    return new HomeHistory();
  }

  /** Takes the next view. */
  public void add(HomeView view) {
    views.addLast(view);
    if (views.size() > MAX_VIEWS) {
      views.removeFirst();
    }
  }

  /** Forgets everything, because records between the last read and the next are lost. */
  public void onGap() {
    views.clear();
  }

  /** Returns the view in force. */
  public Optional<HomeView> current() {
    return Optional.ofNullable(views.peekLast());
  }

  /** Returns since when a run has been home of a key, or empty if it isn't at present. */
  public Optional<Instant> homeSince(HomeMember member, IdempotencyKey key) {
    Optional<Instant> since = Optional.empty();
    for (Iterator<HomeView> it = views.descendingIterator(); it.hasNext(); ) {
      HomeView view = it.next();
      if (!HomeRing.homeOf(view, key).filter(member::equals).isPresent()) {
        break;
      }
      since = Optional.of(view.time());
    }
    return since;
  }
}
