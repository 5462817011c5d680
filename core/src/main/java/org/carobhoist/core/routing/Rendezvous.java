package org.carobhoist.core.routing;

/**
 * Rendezvous (highest random weight) hashing: each key ranks the candidates by a hash over the key
 * and the candidate, so that adding or removing a candidate moves only the keys that rank it first.
 */
public final class Rendezvous {

  private static final long MIX_MULTIPLIER_1 = 0xbf58476d1ce4e5b9L;
  private static final long MIX_MULTIPLIER_2 = 0x94d049bb133111ebL;
  private static final long GOLDEN_GAMMA = 0x9e3779b97f4a7c15L;

  private Rendezvous() {}

  /** Returns the score of a candidate for a key; the candidate with the highest score wins. */
  public static long score(long key, String candidate) {
    long hash = key;
    for (int i = 0; i < candidate.length(); i++) {
      hash = mix(hash + GOLDEN_GAMMA + candidate.charAt(i));
    }
    return hash;
  }

  /** Returns the key for a text. */
  public static long key(String text) {
    return score(0, text);
  }

  /** Applies the mixing function of SplitMix64. */
  private static long mix(long value) {
    long z = (value ^ (value >>> 30)) * MIX_MULTIPLIER_1;
    z = (z ^ (z >>> 27)) * MIX_MULTIPLIER_2;
    return z ^ (z >>> 31);
  }
}
