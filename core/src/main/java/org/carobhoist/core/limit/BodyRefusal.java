package org.carobhoist.core.limit;

/** Why the body of a request isn't received to its end. */
public enum BodyRefusal {
  /** Memory is short, and others need it more. */
  MEMORY("memory is short"),
  /** The body waited too long for memory. */
  WAIT("the body waited too long for memory"),
  /** The client sends the body too slowly. */
  SLOW("the body arrives too slowly");

  private final String text;

  BodyRefusal(String text) {
    this.text = text;
  }

  /** Returns a description for the log. */
  public String text() {
    return text;
  }
}
