package org.carobhoist.server.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.server.link.proto.LinkFrame;

/**
 * The attempts of calls in flight, by the id that their frames carry. A frame whose id is unknown
 * is late or foreign and is dropped by whoever asks.
 */
final class CallTable {

  private final Map<Long, Attempt> attempts = new HashMap<>();
  private long lastId;

  /** One attempt of a call. */
  record Attempt(EntryCall call, int number, InstanceId endpoint) {}

  /** Adds an attempt and returns the id for its frames. */
  long add(Attempt attempt) {
    attempts.put(++lastId, attempt);
    return lastId;
  }

  void remove(long id) {
    attempts.remove(id);
  }

  /** Hands a frame to its call; returns whether there is one. */
  boolean dispatch(InstanceId from, LinkFrame frame) {
    return switch (frame.getBodyCase()) {
      case CALL_HEAD -> to(from, frame.getCallHead().getCall(), frame);
      case CALL_DATA -> to(from, frame.getCallData().getCall(), frame);
      case CALL_END -> to(from, frame.getCallEnd().getCall(), frame);
      case CALL_FAILED -> to(from, frame.getCallFailed().getCall(), frame);
      default -> false;
    };
  }

  /** Tells the calls in flight at an endpoint that its link is gone. */
  void onLinkLost(InstanceId endpoint) {
    List<Attempt> lost =
        attempts.values().stream().filter(a -> a.endpoint().equals(endpoint)).toList();
    lost.forEach(a -> a.call().onLinkLost(a.number()));
  }

  int size() {
    return attempts.size();
  }

  private boolean to(InstanceId from, long id, LinkFrame frame) {
    Attempt a = attempts.get(id);
    if (a == null || !a.endpoint().equals(from)) {
      return false;
    }
    a.call().onFrame(a.number(), frame);
    return true;
  }
}
