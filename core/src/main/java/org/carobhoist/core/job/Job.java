package org.carobhoist.core.job;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A job as read from the store. Results are in the order of their records. A process appends a
 * record only after it has read all records before it; therefore no item has two results, and the
 * position of a result never changes.
 */
public final class Job {

  /** Replaces a part of the content that is known but no longer needed. */
  private static final byte[] RELEASED = new byte[0];

  private final JobHead head;
  private final JobDecoder decoder;
  private final byte[][] chunks;
  private final List<ItemResult> results = new ArrayList<>();
  private final Map<ItemId, ItemResult> resultsByItem = new HashMap<>();
  private final Map<ItemId, Long> offsetsByItem = new HashMap<>();
  private boolean ended;
  private JobContent content;
  private Map<ItemId, JobItem> items;

  Job(JobHead head, int chunks, JobDecoder decoder) {
    this.head = head;
    this.decoder = decoder;
    this.chunks = new byte[chunks][];
  }

  /** Returns the properties that are fixed when the job is accepted. */
  public JobHead head() {
    return head;
  }

  /** Returns the job's id. */
  public JobId id() {
    return head.id();
  }

  /** Returns the number of records that the content is split into. */
  public int chunkCount() {
    return chunks.length;
  }

  /** Returns the results from a position to the end; empty if there are none. */
  public List<ItemResult> resultsFrom(int position) {
    int from = Math.min(position, results.size());
    return Collections.unmodifiableList(results.subList(from, results.size()));
  }

  /** Returns the number of results. */
  public int resultCount() {
    return results.size();
  }

  /** Returns the published result of an item, if there is one. */
  public Optional<ItemResult> result(ItemId item) {
    return Optional.ofNullable(resultsByItem.get(item));
  }

  /** Returns whether the submitter has ended the job. */
  public boolean isEnded() {
    return ended;
  }

  /** Returns whether results can still be added. */
  public boolean isOpen() {
    return !ended && results.size() < head.itemCount();
  }

  /**
   * Returns the content as submitted; decodes it on the first call.
   *
   * @throws IllegalStateException if the job has ended, since its content is no longer kept then,
   *     or if a part of the content isn't known yet
   */
  public JobContent content() {
    if (ended) {
      throw new IllegalStateException("job " + id() + " has ended, its content is not kept");
    }
    if (!isContentComplete()) {
      throw new IllegalStateException("job " + id() + " has parts that are not known yet");
    }
    if (content == null) {
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      Arrays.stream(chunks).forEach(bytes::writeBytes);
      content = decoder.decode(bytes.toByteArray());
    }
    return content;
  }

  /** Returns the item of the job with the given id; empty if the job has ended. */
  public Optional<JobItem> item(ItemId id) {
    if (ended) {
      return Optional.empty();
    }
    if (items == null) {
      items = new HashMap<>();
      content().items().forEach(i -> items.put(i.id(), i));
    }
    return Optional.ofNullable(items.get(id));
  }

  /** Adds a part of the content; returns whether that completed the content. */
  boolean addChunk(int chunk, byte[] bytes) {
    boolean wasKnown = chunks[chunk] != null;
    chunks[chunk] = ended ? RELEASED : bytes;
    return !wasKnown && isContentComplete();
  }

  /** Returns whether all parts of the content are known. */
  public boolean isContentComplete() {
    return Arrays.stream(chunks).allMatch(c -> c != null);
  }

  /** Returns the offset of the record with an item's result; -1 if there is none. */
  long resultOffset(ItemId item) {
    return offsetsByItem.getOrDefault(item, -1L);
  }

  /** Adds a result unless the item already has one; returns whether it was added. */
  boolean addResult(ItemResult result, long offset) {
    if (resultsByItem.putIfAbsent(result.item(), result) != null) {
      return false;
    }
    offsetsByItem.put(result.item(), offset);
    results.add(result);
    return true;
  }

  /** Ends the job; returns whether it wasn't ended before. */
  boolean end() {
    boolean wasEnded = ended;
    ended = true;
    return !wasEnded;
  }

  /**
   * Releases the content of a job that has ended. Its results must stay readable for a long time,
   * but nothing needs the bodies of its items any more.
   */
  void releaseContent() {
    for (int i = 0; i < chunks.length; i++) {
      chunks[i] = chunks[i] == null ? null : RELEASED;
    }
    content = null;
    items = null;
  }

  /** Returns the size of the content that is kept. */
  long contentBytes() {
    return Arrays.stream(chunks).filter(c -> c != null).mapToLong(c -> c.length).sum();
  }
}
