package org.carobhoist.core.store;

/**
 * One partition of a topic in the shared store.
 *
 * @param topic the topic
 * @param part the partition, from 0
 */
public record Shard(String topic, int part) {

  @Override
  public String toString() {
    return topic + "/" + part;
  }
}
