package org.carobhoist.core.job;

import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;
import org.apache.commons.codec.binary.Base64;
import org.apache.commons.codec.digest.DigestUtils;
import org.carobhoist.core.account.AccountName;

/**
 * Identifier of a batch job. The submitter chooses an id of 1 to 100 printable ASCII characters
 * other than space and slash. If it has an account, the job is identified internally by that id
 * together with the account, so that accounts can use the same id and can't name each other's jobs.
 *
 * <p>The scoped form has a slash, which the id of a client can't contain. It has 100 characters at
 * most, as an id has, because a key in the store has 255 and contains the ids of job, item and
 * writer. The account is therefore represented by 64 bits of a digest, and a long id by its
 * beginning and a digest. Only {@link #scopedTo} and {@link #parse} return a scoped id.
 */
public final class JobId implements Comparable<JobId> {

  private static final int SCOPE_DIGITS = 16;
  private static final int MAX_SHORT_LENGTH = 80;
  private static final int LONG_PREFIX_LENGTH = 20;
  private static final String SHORT_MARK = "s";
  private static final String LONG_MARK = "l";
  private static final char SEPARATOR = '/';

  private static final Pattern SCOPED =
      Pattern.compile("[" + SHORT_MARK + LONG_MARK + "][0-9a-f]{16}/[!-.0-~]{1,80}");

  private final String value;

  /**
   * Returns the id of a job without an account, as a client names it.
   *
   * @throws IllegalArgumentException if the value is not a well-formed id
   */
  public JobId(String value) {
    PathIds.check("JobId", value);
    this.value = value;
  }

  private JobId(String value, boolean checked) {
    this.value = value;
  }

  /**
   * Returns the id whose {@link #value()} is the given text, which must not come from a client.
   *
   * @throws IllegalArgumentException if the text is not the value of an id
   */
  public static JobId parse(String text) {
    return SCOPED.matcher(text).matches() ? new JobId(text, true) : new JobId(text);
  }

  /**
   * Returns the id of an account's job that the account names by this id.
   *
   * @throws IllegalStateException if this id already belongs to an account
   */
  public JobId scopedTo(AccountName account) {
    if (isScoped()) {
      throw new IllegalStateException("the id of a job already belongs to an account: " + value);
    }
    String scope = scope(account) + SEPARATOR;
    if (value.length() <= MAX_SHORT_LENGTH) {
      return new JobId(SHORT_MARK + scope + value, true);
    }
    byte[] digest = DigestUtils.sha256(value.getBytes(StandardCharsets.US_ASCII));
    String start = value.substring(0, LONG_PREFIX_LENGTH);
    return new JobId(
        LONG_MARK + scope + start + "~" + Base64.encodeBase64URLSafeString(digest), true);
  }

  /** Returns whether this is the id of a job with an account. */
  public boolean isScoped() {
    return value.indexOf(SEPARATOR) >= 0;
  }

  /** Returns whether this is the id of a job of an account. */
  public boolean isScopedTo(AccountName account) {
    return isScoped() && value.startsWith(scope(account), 1);
  }

  /** Returns the id as text, for records and messages; clients must not see it if it is scoped. */
  public String value() {
    return value;
  }

  private static String scope(AccountName account) {
    return DigestUtils.sha256Hex(account.value()).substring(0, SCOPE_DIGITS);
  }

  @Override
  public int compareTo(JobId other) {
    return value.compareTo(other.value);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof JobId id && value.equals(id.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }

  @Override
  public String toString() {
    return value;
  }
}
