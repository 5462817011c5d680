package org.carobhoist.core.routing;

import java.util.ArrayList;
import java.util.List;

/**
 * Leading blocks of a prompt. Each block is represented by a hash over all text up to its end, so
 * that two prompts with the same hash share all text up to there. Only complete blocks count, up to
 * a maximum number.
 *
 * @param blocks hashes of the blocks, the first block first; empty for no affinity
 */
public record PromptPrefix(List<Long> blocks) {

  /** The prefix of a request without affinity. */
  public static final PromptPrefix NONE = new PromptPrefix(List.of());

  private static final int BLOCK_CHARS = 256;
  private static final int MAX_BLOCKS = 4;
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  /** Makes an immutable copy of the list. */
  public PromptPrefix {
    blocks = List.copyOf(blocks);
  }

  /** Returns the prefix of a prompt; a prompt shorter than one block counts as one block. */
  public static PromptPrefix of(String prompt) {
    if (prompt.isEmpty()) {
      return NONE;
    }
    List<Long> blocks = new ArrayList<>();
    long hash = FNV_OFFSET;
    int end = Math.min(prompt.length(), MAX_BLOCKS * BLOCK_CHARS);
    for (int i = 0; i < end; i++) {
      hash = (hash ^ prompt.charAt(i)) * FNV_PRIME;
      if ((i + 1) % BLOCK_CHARS == 0) {
        blocks.add(hash);
      }
    }
    return new PromptPrefix(blocks.isEmpty() ? List.of(hash) : blocks);
  }

  /** Returns the hash by which endpoints are ranked for the prompt: that of the last block. */
  long affinityKey() {
    return blocks.get(blocks.size() - 1);
  }

  boolean isEmpty() {
    return blocks.isEmpty();
  }
}
