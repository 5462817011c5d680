package org.carobhoist.core.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.carobhoist.core.common.Callbacks;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.placement.ItemState.Phase;

/**
 * Decides which unfinished texts the coordinator stores. Runners and coordinator hold them in
 * memory, so when all processes end at once, for example by a loss of power in the middle of a
 * training step, every item of the step would have to run again from its first event. A stored text
 * is a beginning of what its item generates, so an older one that is stored late does no harm.
 */
final class TextCheckpoints {

  /** Time between two appends; what is lost with all processes is at most this and a report. */
  private static final Duration PERIOD = Duration.ofMillis(500);

  /** Time until the next append after one that failed; the store is probably away for longer. */
  private static final Duration RETRY_PERIOD = Duration.ofSeconds(2);

  /** Generation time that storing a text must save; shorter items finish without an append. */
  private static final Duration MIN_TIME_SAVED = Duration.ofMillis(400);

  /** Maximum bytes of texts per append, so that a large fleet writes 512 KiB per second at most. */
  private static final int MAX_BATCH_BYTES = 256 * 1024;

  /** Maximum bytes of a stored text; the store accepts records of 256 KiB with key and header. */
  private static final int MAX_TEXT_BYTES = 200 * 1024;

  private final PlacementPort port;
  private final Clock clock;
  private final Map<ItemKey, Integer> storedEvents = new HashMap<>();
  private Duration nextAppendAt = Duration.ZERO;
  private boolean appending;

  TextCheckpoints(PlacementPort port, Clock clock) {
    this.port = port;
    this.clock = clock;
  }

  /** Forgets which texts are stored, because another process may have coordinated since. */
  void reset() {
    storedEvents.clear();
  }

  /** Called for each text that the store holds when this process becomes coordinator. */
  void onLoaded(TextCheckpoint checkpoint) {
    storedEvents.merge(checkpoint.key(), checkpoint.text().endEventIndex(), Math::max);
  }

  /** Stores the texts that have grown enough, and deletes those of items that are done. */
  void tick(Map<ItemKey, ItemState> items) {
    Duration now = clock.elapsed();
    if (appending || now.compareTo(nextAppendAt) < 0) {
      return;
    }
    nextAppendAt = now.plus(PERIOD);
    List<TextCheckpoint> texts = grownTexts(items, now);
    List<ItemKey> obsolete =
        storedEvents.keySet().stream().filter(k -> !items.containsKey(k)).toList();
    if (texts.isEmpty() && obsolete.isEmpty()) {
      return;
    }
    appending = true;
    Callbacks.start(() -> port.storeCheckpoints(texts, obsolete))
        .whenComplete(Callbacks.reported((ok, failure) -> onAppended(texts, obsolete, failure)));
  }

  private void onAppended(List<TextCheckpoint> texts, List<ItemKey> obsolete, Throwable failure) {
    appending = false;
    if (failure != null) {
      nextAppendAt = clock.elapsed().plus(RETRY_PERIOD);
      // The append may have been carried out all the same.
      texts.forEach(c -> storedEvents.putIfAbsent(c.key(), 0));
      return;
    }
    texts.forEach(this::onLoaded);
    obsolete.forEach(storedEvents::remove);
  }

  /** Returns the texts that have grown enough, those that would lose most events first. */
  private List<TextCheckpoint> grownTexts(Map<ItemKey, ItemState> items, Duration now) {
    List<Map.Entry<ItemKey, ItemState>> grown =
        items.entrySet().stream()
            .filter(e -> isWorthStoring(e.getKey(), e.getValue(), now))
            .sorted(Comparator.comparing(e -> -newEvents(e.getKey(), e.getValue())))
            .toList();
    List<TextCheckpoint> texts = new ArrayList<>();
    int bytes = 0;
    for (Map.Entry<ItemKey, ItemState> e : grown) {
      bytes += e.getValue().text().size();
      if (bytes > MAX_BATCH_BYTES) {
        break;
      }
      texts.add(new TextCheckpoint(e.getKey(), e.getValue().text().toDelta()));
    }
    return texts;
  }

  private boolean isWorthStoring(ItemKey key, ItemState state, Duration now) {
    if (state.phase() != Phase.RUNNING || state.text().size() > MAX_TEXT_BYTES) {
      return false;
    }
    Duration saved = state.engine().eventInterval(now).multipliedBy(newEvents(key, state));
    return saved.compareTo(MIN_TIME_SAVED) >= 0;
  }

  private int newEvents(ItemKey key, ItemState state) {
    return state.text().eventCount() - storedEvents.getOrDefault(key, 0);
  }
}
