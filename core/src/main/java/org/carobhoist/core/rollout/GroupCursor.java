package org.carobhoist.core.rollout;

import java.util.Base64;
import java.util.BitSet;

/**
 * The set of groups of a step that a trainer has received and stored. The trainer's cursor is the
 * commit point of the delivery: a page is valid only for the cursor of the request that it answers.
 */
public final class GroupCursor {

  /** Maximum number of groups of a step. */
  public static final int MAX_GROUPS = 65_536;

  private final BitSet held;

  private GroupCursor(BitSet held) {
    this.held = held;
  }

  /** Returns the cursor of a trainer that holds no groups. */
  public static GroupCursor empty() {
    return new GroupCursor(new BitSet());
  }

  /**
   * Parses the text form, as written by {@link #format}.
   *
   * @throws IllegalArgumentException if the text is malformed or names a group beyond the maximum
   */
  public static GroupCursor parse(String text) {
    BitSet held = BitSet.valueOf(Base64.getUrlDecoder().decode(text));
    if (held.length() > MAX_GROUPS) {
      throw new IllegalArgumentException("cursor names a group beyond " + MAX_GROUPS);
    }
    return new GroupCursor(held);
  }

  /** Returns whether the trainer holds the group. */
  public boolean holds(int group) {
    return held.get(group);
  }

  /** Returns a cursor that holds the given group in addition. */
  public GroupCursor with(int group) {
    BitSet copy = (BitSet) held.clone();
    copy.set(group);
    return new GroupCursor(copy);
  }

  /** Returns the number of groups held. */
  public int count() {
    return held.cardinality();
  }

  /** Returns the text form: the bitmap, lowest group first, as base64url without padding. */
  public String format() {
    return Base64.getUrlEncoder().withoutPadding().encodeToString(held.toByteArray());
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof GroupCursor cursor && held.equals(cursor.held);
  }

  @Override
  public int hashCode() {
    return held.hashCode();
  }

  @Override
  public String toString() {
    return format();
  }
}
