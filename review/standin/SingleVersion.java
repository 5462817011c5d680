package review;

import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A version is named while the items of a step run, on a route with single_version. The rule that
 * is checked is VERSION: a result has exactly one version.
 */
class SingleVersion implements Lab.Scenario {

  static final int ITEMS = 8;
  private static final int EVENTS = 100;
  static final int EVENT_MS = 42;
  private static final int DEADLINE_MS = 15_000;

  @Override
  public final int play(Lab lab) throws Exception {
    lab.manifest(7,
        Lab.route("steps", "/pule252/", "rollout", "huvo11a",
            ",\"timeout_ms\":10000,\"target_latency_ms\":500,\"deadline_ms\":" + DEADLINE_MS
                + ",\"max_attempts\":3,\"retention_s\":40,\"single_version\":true"),
        Lab.engineService("huvo11a"));
    List<Engine> engines = List.of(
        new Engine(lab, "i-1", "huvo11a", EVENTS, EVENT_MS),
        new Engine(lab, "i-2", "huvo11a", EVENTS, secondEventMs()));
    lab.startGateway("front-1");
    lab.startGateway("front-2");
    lab.awaitReady();
    Thread.sleep(3000);
    int front = lab.gateways.get(0).front;
    String[] items = new String[ITEMS];
    for (int i = 0; i < ITEMS; i++) {
      items[i] = Lab.item("a" + i, EVENTS * 49, "");
    }
    long submittedAt = System.nanoTime();
    if (lab.submit(front, "/pule252/7c41e0", "job0", Lab.job(0, 1, items)) != 202) {
      return 2;
    }
    Thread.sleep(1500);
    int version = lab.trouble ? 2 : 1;
    if (lab.trouble) {
      engines.forEach(e -> e.named = 2);
      lab.store.put("keyed.op", "version/m0", "{\"model\":\"m0\",\"version\":2}");
      lab.note("version 2 is named");
    }
    Thread.sleep(300);
    lab.submit(front, "/pule252/7c41e1", "job1",
        Lab.job(1, version, Lab.item("b0", EVENTS * 49, "")));
    long due = submittedAt + DEADLINE_MS * 1_000_000L;
    Thread.sleep(Math.max(0, (due - System.nanoTime()) / 1_000_000));
    lab.note("the step is due");
    Http.Message page = lab.call(front, "GET", "/-/lots/job0?after=0");
    String text = page == null ? "" : page.text();
    lab.note("results of job0: " + text.replaceAll("\"text\":\"[^\"]*\"", "\"text\":..."));
    if (page == null || !text.contains("\"results\":[{")) {
      lab.note("no result can be read");
      return 2;
    }
    return check(lab, engines, text);
  }

  /** Time for an event at the second server; servers of a service differ in speed. */
  int secondEventMs() {
    return EVENT_MS;
  }

  int check(Lab lab, List<Engine> engines, String results) {
    Matcher several = Pattern.compile("\"versions\":\\[\\d+,[\\d,]+\\]").matcher(results);
    int count = 0;
    while (several.find()) {
      count++;
    }
    return lab.verdict(count > 0, count + " of " + ITEMS
        + " items of a single_version route are listed with several versions");
  }
}
