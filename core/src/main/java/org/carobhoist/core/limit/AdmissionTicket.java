package org.carobhoist.core.limit;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.carobhoist.core.common.Priority;
import org.carobhoist.core.common.Refusal;

/**
 * A request that asks a sidecar for admission.
 *
 * @param id identity at this sidecar
 * @param priority class in the queue
 * @param tenant whose share of the endpoint it uses: a profile, or a trainer's profile
 * @param deadline point of {@link org.carobhoist.core.common.Clock#elapsed()} after which the
 *     answer is worthless, if the caller has one
 * @param tokens most KV cache tokens that it will take; 0 if unknown
 * @param onAdmit runs the request
 * @param onRefuse tells why it won't run; the verdict is always NOT_RUN
 */
public record AdmissionTicket(
    long id,
    Priority priority,
    String tenant,
    Optional<Duration> deadline,
    long tokens,
    Runnable onAdmit,
    Consumer<Refusal> onRefuse) {

  /** Creates a ticket of a request whose need for KV cache is unknown. */
  public AdmissionTicket(
      long id,
      Priority priority,
      String tenant,
      Optional<Duration> deadline,
      Runnable onAdmit,
      Consumer<Refusal> onRefuse) {
    this(id, priority, tenant, deadline, 0, onAdmit, onRefuse);
  }
}
