package lab;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ThreadFactory;
import java.util.function.BooleanSupplier;

/** Small helpers. */
final class Threads {

  private Threads() {}

  static ThreadFactory daemon(String name) {
    return task -> {
      Thread t = new Thread(task, name);
      t.setDaemon(true);
      return t;
    };
  }

  static void start(String name, Runnable task) {
    daemon(name).newThread(task).start();
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static boolean await(long millis, BooleanSupplier condition) {
    long until = System.nanoTime() + millis * 1_000_000;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > until) {
        return false;
      }
      sleep(10);
    }
    return true;
  }

  static Map<String, String> query(String raw) {
    Map<String, String> out = new HashMap<>();
    for (String pair : raw == null ? new String[0] : raw.split("&")) {
      int at = pair.indexOf('=');
      if (at > 0) {
        String value = URLDecoder.decode(pair.substring(at + 1), StandardCharsets.UTF_8);
        out.put(pair.substring(0, at), value);
      }
    }
    return out;
  }
}
