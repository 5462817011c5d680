package org.carobhoist.server.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.server.link.proto.LinkFrame;

/**
 * The attempts in flight, by the id that their link frames carry. A frame with an unknown id
 * arrived after its attempt was removed, or belongs to something else; {@link #dispatch} returns
 * false for it.
 */
final class CallTable {

  private final Map<Long, Attempt> attempts = new HashMap<>();
  private long lastId;

  /**
   * One attempt of a call.
   *
   * @param call the call
   * @param number number of the attempt within the call, from 1
   * @param endpoint the endpoint that the attempt was sent to
   */
  record Attempt(EntryCall call, int number, InstanceId endpoint) {}

  /** Adds an attempt and returns the id that its frames must carry. */
  long add(Attempt attempt) {
    attempts.put(++lastId, attempt);
    return lastId;
  }

  void remove(long id) {
    attempts.remove(id);
  }

  /**
   * Passes a frame to the call whose attempt it belongs to.
   *
   * @return false if the frame belongs to no attempt in flight at the sending endpoint
   */
  boolean dispatch(InstanceId from, LinkFrame frame) {
    return switch (frame.getBodyCase()) {
      case CALL_HEAD -> deliver(from, frame.getCallHead().getCall(), frame);
      case CALL_DATA -> deliver(from, frame.getCallData().getCall(), frame);
      case CALL_END -> deliver(from, frame.getCallEnd().getCall(), frame);
      case CALL_FAILED -> deliver(from, frame.getCallFailed().getCall(), frame);
      default -> false;
    };
  }

  /** Called when the link to an endpoint is lost; notifies the calls in flight there. */
  void onLinkLost(InstanceId endpoint) {
    List<Attempt> lost =
        attempts.values().stream().filter(a -> a.endpoint().equals(endpoint)).toList();
    lost.forEach(a -> a.call().onLinkLost(a.number()));
  }

  int size() {
    return attempts.size();
  }

  private boolean deliver(InstanceId from, long id, LinkFrame frame) {
    Attempt a = attempts.get(id);
    if (a == null || !a.endpoint().equals(from)) {
      return false;
    }
    a.call().onFrame(a.number(), frame);
    return true;
  }
}
