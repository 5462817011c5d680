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
 * A job as the store tells of it. Results stand in the order of their records; since a record is
 * appended only by a process that has read everything before it, no item has two, and a position
 * never changes.
 */
public final class Job {

  private final JobHead head;
  private final JobDecoder decoder;
  private final byte[][] chunks;
  private final List<ItemResult> results = new ArrayList<>();
  private final Map<ItemId, ItemResult> byItem = new HashMap<>();
  private final Map<ItemId, Long> offsets = new HashMap<>();
  private boolean ended;
  private JobContent content;
  private Map<ItemId, JobItem> items;

  Job(JobHead head, int chunks, JobDecoder decoder) {
    this.head = head;
    this.decoder = decoder;
    this.chunks = new byte[chunks][];
  }

  /** Returns what is fixed of the job. */
  public JobHead head() {
    return head;
  }

  /** Returns the job's id. */
  public JobId id() {
    return head.id();
  }

  /** Returns the number of records that hold its content. */
  public int chunks() {
    return chunks.length;
  }

  /** Returns the results from a position on. */
  public List<ItemResult> resultsFrom(int position) {
    int from = Math.min(position, results.size());
    return Collections.unmodifiableList(results.subList(from, results.size()));
  }

  /** Returns the number of results. */
  public int listed() {
    return results.size();
  }

  /** Returns the result of an item, if it is listed. */
  public Optional<ItemResult> result(ItemId item) {
    return Optional.ofNullable(byItem.get(item));
  }

  /** Returns whether the submitter has ended the job. */
  public boolean isEnded() {
    return ended;
  }

  /** Returns whether results can still be added. */
  public boolean isOpen() {
    return !ended && results.size() < head.total();
  }

  /** Returns what the submitter asked for. */
  public JobContent content() {
    if (content == null) {
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      Arrays.stream(chunks).forEach(bytes::writeBytes);
      content = decoder.decode(bytes.toByteArray());
    }
    return content;
  }

  /** Returns an item of the job. */
  public Optional<JobItem> item(ItemId id) {
    if (items == null) {
      items = new HashMap<>();
      content().items().forEach(i -> items.put(i.id(), i));
    }
    return Optional.ofNullable(items.get(id));
  }

  /** Takes a part of the content; returns whether the job is whole now and was not before. */
  boolean addChunk(int chunk, byte[] bytes) {
    boolean known = chunks[chunk] != null;
    chunks[chunk] = bytes;
    return !known && isWhole();
  }

  /** Returns whether all parts of its content are known. */
  public boolean isWhole() {
    return Arrays.stream(chunks).allMatch(c -> c != null);
  }

  /** Returns the offset of the record that listed an item; -1 if none did. */
  long offsetOf(ItemId item) {
    return offsets.getOrDefault(item, -1L);
  }

  /** Takes a result; returns whether it is new. */
  boolean add(ItemResult result, long offset) {
    if (byItem.putIfAbsent(result.item(), result) != null) {
      return false;
    }
    offsets.put(result.item(), offset);
    results.add(result);
    return true;
  }

  /** Ends the job; returns whether it was open to results. */
  boolean end() {
    boolean was = ended;
    ended = true;
    return !was;
  }
}
