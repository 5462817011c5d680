package org.carobhoist.core.manifest;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import org.carobhoist.core.account.Account;
import org.carobhoist.core.account.Accounts;
import org.carobhoist.core.account.ApiKey;

/** Compares two versions of a manifest. Keys of accounts are named by their fingerprints. */
public final class ManifestDiff {

  private ManifestDiff() {}

  /** Returns the differences, ordered by entry. */
  public static List<ManifestChange> between(Manifest before, Manifest after) {
    Map<String, String> former = entries(before);
    Map<String, String> next = entries(after);
    SortedSet<String> names = new TreeSet<>(former.keySet());
    names.addAll(next.keySet());
    List<ManifestChange> out = new ArrayList<>();
    for (String name : names) {
      String old = former.getOrDefault(name, "");
      String changed = next.getOrDefault(name, "");
      if (!old.equals(changed)) {
        out.add(new ManifestChange(kind(old, changed), name, old, changed));
      }
    }
    return out;
  }

  private static ManifestChange.Kind kind(String before, String after) {
    if (before.isEmpty()) {
      return ManifestChange.Kind.ADDED;
    }
    return after.isEmpty() ? ManifestChange.Kind.REMOVED : ManifestChange.Kind.CHANGED;
  }

  /** Returns the content of each entry by its name. */
  private static Map<String, String> entries(Manifest manifest) {
    Map<String, String> out = new TreeMap<>();
    for (Route r : manifest.routes()) {
      String content = r.toString();
      out.merge("route " + r.host() + r.pathPrefix(), content, (a, b) -> a + " " + b);
    }
    manifest.services().values().forEach(s -> out.put("service " + s.name(), s.toString()));
    out.put("limits", manifest.limits().toString());
    manifest.accounts().map(Accounts::all).ifPresent(all -> all.forEach(a -> put(out, a)));
    out.put("accounts", manifest.accounts().isPresent() ? "enabled" : "disabled");
    return out;
  }

  private static void put(Map<String, String> out, Account account) {
    List<String> keys = account.keys().stream().map(ApiKey::fingerprint).sorted().toList();
    String priority =
        account.priority().isPresent() ? ", priority " + account.priority().getAsInt() : "";
    out.put("account " + account.name(), "keys " + keys + priority);
  }
}
