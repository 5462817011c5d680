package org.carobhoist.core.common;

/** Fails the future of a refused request; carries the {@link Refusal}. */
public final class RefusedException extends RuntimeException {

  private final transient Refusal refusal;

  private RefusedException(Refusal refusal) {
    super(refusal.reason() + ": " + refusal.detail(), null, false, false);
    this.refusal = refusal;
  }

  /** Returns an exception that carries the refusal. */
  public static RefusedException of(Refusal refusal) {
    return new RefusedException(refusal);
  }

  /** Returns the refusal. */
  public Refusal refusal() {
    return refusal;
  }
}
