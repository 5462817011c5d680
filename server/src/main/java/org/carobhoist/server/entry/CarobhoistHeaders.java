package org.carobhoist.server.entry;

/** Names of the HTTP headers of the callers' interface, in lower case. */
public final class CarobhoistHeaders {

  /** On every answer: COMPLETED, NOT_RUN or MAY_HAVE_RUN. */
  public static final String VERDICT = "carobhoist-verdict";

  /** On requests and answers: the request's id; made by the entry if the caller names none. */
  public static final String REQUEST_ID = "carobhoist-request-id";

  /** On requests: the profile under which to run. */
  public static final String PROFILE = "carobhoist-profile";

  /** On requests: longest time until the answer, in milliseconds. */
  public static final String DEADLINE_MILLIS = "carobhoist-deadline-ms";

  /** On requests: {@code true} if the request may run more than once. */
  public static final String IDEMPOTENT = "carobhoist-idempotent";

  /**
   * On requests: names a piece of work across resends. On answers to requests that may not run
   * twice: the key used, minted by the entry if the caller sent none.
   */
  public static final String IDEMPOTENCY_KEY = "idempotency-key";

  private CarobhoistHeaders() {}
}
