package org.carobhoist.server.link;

import java.time.Duration;
import org.carobhoist.core.common.Priority;
import org.carobhoist.core.common.Refusal;
import org.carobhoist.core.common.RefusalReason;
import org.carobhoist.core.common.Verdict;
import org.carobhoist.server.link.proto.CallFailed;
import org.carobhoist.server.link.proto.VerdictCode;

/** Translates what belongs to calls between the wire and {@code core}. */
public final class CallMapper {

  private CallMapper() {}

  /** Returns the refusal of a call for the wire. */
  public static CallFailed toMessage(long call, Refusal refusal) {
    return CallFailed.newBuilder()
        .setCall(call)
        .setVerdictValue(refusal.verdict().ordinal() + 1)
        .setReason(refusal.reason().name())
        .setDetail(refusal.detail())
        .setRetryAfterMillis(refusal.retryAfter().toMillis())
        .build();
  }

  /** Returns the refusal that a sidecar sent; what is unknown counts as "may have run". */
  public static Refusal fromMessage(CallFailed failed) {
    boolean notRun = failed.getVerdict() == VerdictCode.VERDICT_CODE_NOT_RUN;
    return new Refusal(
        notRun ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN,
        reason(failed.getReason()),
        failed.getDetail(),
        Duration.ofMillis(failed.getRetryAfterMillis()));
  }

  /** Returns the priority for the wire. */
  public static int priorityNumber(Priority priority) {
    return priority.ordinal() + 1;
  }

  /** Returns the priority from the wire; unknown ones count as standard. */
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
