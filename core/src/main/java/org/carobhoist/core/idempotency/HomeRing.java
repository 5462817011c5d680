package org.carobhoist.core.idempotency;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.Optional;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Finds the home of a caller's key by rendezvous hashing: the member whose instance hashes highest
 * together with the key. A member that joins or leaves moves only its own share of the keys, and a
 * restart moves none, since the incarnation isn't part of the hash.
 */
public final class HomeRing {

  private HomeRing() {}

  /** Returns the home of a key, or empty if the view has no member. */
  public static Optional<HomeMember> homeOf(HomeView view, IdempotencyKey key) {
    return view.members().stream()
        .max(
            Comparator.comparingLong((HomeMember m) -> weight(m, key))
                .thenComparing(HomeMember::instance));
  }

  private static long weight(HomeMember member, IdempotencyKey key) {
    byte[] bytes = (member.instance() + "|" + key).getBytes(StandardCharsets.UTF_8);
    return MurmurHash3.hash128x64(bytes)[0];
  }
}
