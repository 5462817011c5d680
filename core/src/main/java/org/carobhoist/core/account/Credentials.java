package org.carobhoist.core.account;

/** What a request contains to identify its account. */
public sealed interface Credentials {

  /** The request has no {@code Authorization} header. */
  record Missing() implements Credentials {}

  /** The request has several different {@code Authorization} headers, or one without a key. */
  record Malformed() implements Credentials {}

  /**
   * The request has a key, which may be unknown.
   *
   * @param key the key
   */
  record Key(ApiKey key) implements Credentials {}
}
