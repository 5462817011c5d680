package org.carobhoist.core.routing;

/**
 * Rendezvous hashing: each key ranks the candidates by a hash over both, so that a candidate that
 * comes or goes moves only the keys that rank it first.
 */
public final class Rendezvous {

  private static final long MIX_1 = 0xbf58476d1ce4e5b9L;
  private static final long MIX_2 = 0x94d049bb133111ebL;
  private static final long GOLDEN = 0x9e3779b97f4a7c15L;

  private Rendezvous() {}

  /** Returns the candidate's score for the key; the highest score wins. */
  public static long score(long key, String candidate) {
    long hash = key;
    for (int i = 0; i < candidate.length(); i++) {
      hash = mix(hash + GOLDEN + candidate.charAt(i));
    }
    return hash;
  }

  /** Returns a key made from text. */
  public static long key(String text) {
    return score(0, text);
  }

  private static long mix(long value) {
    long z = (value ^ (value >>> 30)) * MIX_1;
    z = (z ^ (z >>> 27)) * MIX_2;
    return z ^ (z >>> 31);
  }
}
