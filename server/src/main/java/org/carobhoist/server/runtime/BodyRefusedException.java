package org.carobhoist.server.runtime;

import org.carobhoist.core.limit.BodyRefusal;

/** The body of a request was not received to its end, so the request has not run. */
public final class BodyRefusedException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final BodyRefusal cause;

  BodyRefusedException(BodyRefusal cause) {
    super(cause.text(), null, false, false);
    this.cause = cause;
  }

  /** Returns why the body was refused. */
  public BodyRefusal refusal() {
    return cause;
  }
}
