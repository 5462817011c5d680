package org.carobhoist.core.idempotency;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.Optional;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Selects the home of a caller-generated key by rendezvous hashing: the member with the highest
 * hash of its instance and the key. A member that joins or leaves moves only its own share of the
 * keys. A restart moves none, since the incarnation isn't part of the hash.
 */
public final class HomeSelector {

  private HomeSelector() {}

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
