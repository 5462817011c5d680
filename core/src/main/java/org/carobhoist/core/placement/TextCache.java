package org.carobhoist.core.placement;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.carobhoist.core.account.AccountName;
import org.carobhoist.core.job.ItemId;

/**
 * Texts of items whose job has ended, kept because a later job may submit the same items again. If
 * there are too many, the text that was stored first is evicted.
 */
final class TextCache {

  /**
   * Maximum number of texts; a training step has several hundred items, some of which are submitted
   * again.
   */
  private static final int CAPACITY = 1_024;

  private final Map<Key, RunText> texts =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, RunText> eldest) {
          return size() > CAPACITY;
        }
      };

  /**
   * Identifies the text of an item across the jobs of an account.
   *
   * @param account the account; empty for jobs without one
   * @param item the item
   */
  record Key(Optional<AccountName> account, ItemId item) {}

  /** Stores a text unless it has no events or one with at least as many events is stored. */
  void put(Key item, RunText text) {
    RunText cached = texts.get(item);
    if (text.eventCount() > 0 && (cached == null || cached.eventCount() < text.eventCount())) {
      texts.remove(item);
      texts.put(item, text);
    }
  }

  /** Removes and returns the text of an item. */
  Optional<RunText> take(Key item) {
    return Optional.ofNullable(texts.remove(item));
  }
}
