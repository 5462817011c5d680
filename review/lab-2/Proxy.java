import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.function.ToLongFunction;

/** Passes connections on to a port, and holds back what arrives first on some of them. */
final class Proxy {

  private Proxy() {}

  /**
   * Starts a proxy.
   *
   * @param delay returns for how many milliseconds the first bytes of a connection are held back
   * @return the port of the proxy
   */
  static int start(int target, ToLongFunction<String> delay) throws IOException {
    ServerSocket server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    Wire.thread(
        () -> {
          while (true) {
            Socket client = server.accept();
            Wire.thread(() -> connect(client, target, delay));
          }
        });
    return server.getLocalPort();
  }

  private static void connect(Socket client, int target, ToLongFunction<String> delay)
      throws IOException {
    Socket server = new Socket("127.0.0.1", target);
    client.setTcpNoDelay(true);
    server.setTcpNoDelay(true);
    Wire.thread(() -> copy(server, client, bytes -> 0));
    copy(client, server, delay);
  }

  private static void copy(Socket from, Socket to, ToLongFunction<String> delay)
      throws IOException {
    try (from;
        to) {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      byte[] buffer = new byte[65_536];
      boolean first = true;
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        while (first && startsOrder(buffer, n)) {
          // The body may come after the head.
          int more = in.read(buffer, n, buffer.length - n);
          if (more < 0) {
            break;
          }
          n += more;
        }
        if (first) {
          first = false;
          long millis = delay.applyAsLong(new String(buffer, 0, n, StandardCharsets.ISO_8859_1));
          if (millis > 0) {
            Wire.sleep(millis);
          }
        }
        out.write(buffer, 0, n);
        out.flush();
      }
    }
  }

  /** Returns whether the bytes are the beginning of an order whose body isn't complete. */
  private static boolean startsOrder(byte[] bytes, int length) {
    String text = new String(bytes, 0, length, StandardCharsets.ISO_8859_1);
    return text.startsWith("POST /-/order") && !text.endsWith("}");
  }
}
