package org.carobhoist.core.placement;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.carobhoist.core.job.ItemId;

/** Texts of items whose job has ended; the items may come again in a later job. */
final class KeptTexts {

  /** Most texts kept; a step has some hundred items, of which a part comes again. */
  private static final int CAPACITY = 1_024;

  private final Map<ItemId, RunText> texts =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<ItemId, RunText> eldest) {
          return size() > CAPACITY;
        }
      };

  void put(ItemId item, RunText text) {
    RunText known = texts.get(item);
    if (text.events() > 0 && (known == null || known.events() < text.events())) {
      texts.remove(item);
      texts.put(item, text);
    }
  }

  Optional<RunText> take(ItemId item) {
    return Optional.ofNullable(texts.remove(item));
  }
}
