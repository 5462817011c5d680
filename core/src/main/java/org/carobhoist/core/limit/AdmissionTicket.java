package org.carobhoist.core.limit;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.carobhoist.core.common.Priority;
import org.carobhoist.core.common.Refusal;

/**
 * A request that is submitted to a sidecar for admission.
 *
 * @param id identifier, unique at this sidecar
 * @param priority priority class
 * @param tenant tenant whose share of the endpoint the request uses: a profile, or a trainer within
 *     a profile
 * @param deadline value of {@link org.carobhoist.core.common.Clock#elapsed()} after which the
 *     response is useless, if the caller has set one
 * @param kvTokens most KV cache tokens that the request needs; 0 if unknown
 * @param onAdmit starts the request
 * @param onRefuse receives the reason if the request is refused; the verdict is always NOT_RUN
 */
public record AdmissionTicket(
    long id,
    Priority priority,
    String tenant,
    Optional<Duration> deadline,
    long kvTokens,
    Runnable onAdmit,
    Consumer<Refusal> onRefuse) {

  /** Creates a ticket for a request whose need for KV cache is unknown. */
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
