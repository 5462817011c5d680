package review;

import java.util.ArrayList;
import java.util.List;

/**
 * The same as {@link SingleVersion}; the rule that is checked is LOST: when the step's time is up,
 * no item that no server has finished has been at no server for 5 s, with the servers under half
 * full and no version named in the 6 s before.
 */
final class Stranded extends SingleVersion {

  private static final double ALONE_S = 5;

  @Override
  int secondEventMs() {
    return 2 * EVENT_MS;
  }

  @Override
  int check(Lab lab, List<Engine> engines, String results) {
    List<String> stranded = new ArrayList<>();
    double now = lab.seconds();
    for (int i = 0; i < ITEMS; i++) {
      String item = "a" + i;
      boolean open = !results.contains("\"id\":\"" + item + "\"")
          && engines.stream().noneMatch(e -> e.made.containsKey(item));
      double last = engines.stream().mapToDouble(e -> e.lastAt(item)).max().orElse(0);
      if (open && now - last > ALONE_S) {
        stranded.add(String.format("%s, at no server for %.1f s", item, now - last));
      }
    }
    boolean calm = engines.stream().allMatch(e -> e.underHalfFullFor() > ALONE_S);
    lab.note("servers under half full for 5 s: " + calm);
    return lab.verdict(calm && !stranded.isEmpty(),
        stranded.size() + " of " + ITEMS + " items of the step: " + stranded);
  }
}
