package org.carobhoist.server.link;

import java.time.Duration;
import org.carobhoist.core.common.Priority;
import org.carobhoist.core.common.Refusal;
import org.carobhoist.core.common.RefusalReason;
import org.carobhoist.core.common.Verdict;
import org.carobhoist.server.link.proto.CallFailed;
import org.carobhoist.server.link.proto.VerdictCode;

/** Converts call refusals and priorities between protobuf messages and {@code core} types. */
public final class CallMapper {

  private CallMapper() {}

  /** Converts the refusal of a call to its message. */
  public static CallFailed toMessage(long call, Refusal refusal) {
    return CallFailed.newBuilder()
        .setCall(call)
        .setVerdictValue(refusal.verdict().ordinal() + 1)
        .setReason(refusal.reason().name())
        .setDetail(refusal.detail())
        .setRetryAfterMillis(refusal.retryAfter().toMillis())
        .build();
  }

  /**
   * Converts the message of a sidecar to a refusal. An unknown verdict is treated as "may have
   * run", an unknown reason as a failed endpoint.
   */
  public static Refusal fromMessage(CallFailed failed) {
    boolean notRun = failed.getVerdict() == VerdictCode.VERDICT_CODE_NOT_RUN;
    return new Refusal(
        notRun ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN,
        reason(failed.getReason()),
        failed.getDetail(),
        Duration.ofMillis(failed.getRetryAfterMillis()));
  }

  /** Returns the number that represents a priority in messages. */
  public static int priorityNumber(Priority priority) {
    return priority.ordinal() + 1;
  }

  /** Returns the priority for a number in a message; unknown numbers mean standard priority. */
  public static Priority priority(int value) {
    Priority[] all = Priority.values();
    return value >= 1 && value <= all.length ? all[value - 1] : Priority.STANDARD;
  }

  private static RefusalReason reason(String name) {
    for (RefusalReason reason : RefusalReason.values()) {
      if (reason.name().equals(name)) {
        return reason;
      }
    }
    return RefusalReason.ENDPOINT_FAILED;
  }
}
