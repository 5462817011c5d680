package org.carobhoist.it;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Connections of clients that send a prefix and then a repeated pattern up to a number of bytes,
 * never finish their requests and never read.
 */
final class UntrustedClients implements AutoCloseable {

  private static final int BLOCK_BYTES = 16_384;
  private static final int RECEIVE_BUFFER_BYTES = 4_096;

  /** Ends sending if no connection accepts bytes, which is so while the process pauses them all. */
  private static final int MAX_IDLE_ROUNDS = 150;

  private static final int MAX_ROUNDS = 3_000;
  private static final int ROUND_MILLIS = 10;

  private final List<Client> clients = new ArrayList<>();

  /** Opens connections to a port of the loopback address. */
  UntrustedClients open(int count, int port, String prefix, String pattern, long totalBytes)
      throws IOException {
    for (int i = 0; i < count; i++) {
      SocketChannel channel = SocketChannel.open();
      channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
      channel.connect(new InetSocketAddress("127.0.0.1", port));
      channel.configureBlocking(false);
      clients.add(new Client(channel, prefix.replace("ID", "u" + i), pattern, totalBytes));
    }
    return this;
  }

  /**
   * Sends until all connections have sent everything, are closed, or accept nothing for a while.
   */
  void send() throws InterruptedException {
    int idleRounds = 0;
    for (int round = 0; round < MAX_ROUNDS && idleRounds < MAX_IDLE_ROUNDS; round++) {
      long written = 0;
      boolean open = false;
      for (Client c : clients) {
        written += c.send();
        open |= c.remaining > 0;
      }
      if (!open) {
        return;
      }
      idleRounds = written > 0 ? 0 : idleRounds + 1;
      Thread.sleep(written > 0 ? 0 : ROUND_MILLIS);
    }
  }

  @Override
  public void close() throws IOException {
    for (Client c : clients) {
      c.channel.close();
    }
  }

  private static final class Client {

    private final SocketChannel channel;
    private final ByteBuffer prefix;
    private final ByteBuffer block;
    private long remaining;

    private Client(SocketChannel channel, String prefix, String pattern, long totalBytes) {
      this.channel = channel;
      this.prefix = ByteBuffer.wrap(prefix.getBytes(StandardCharsets.US_ASCII));
      String repeated = pattern.repeat(Math.max(1, BLOCK_BYTES / pattern.length()));
      this.block = ByteBuffer.wrap(repeated.getBytes(StandardCharsets.US_ASCII));
      this.remaining = totalBytes;
    }

    private long send() {
      try {
        if (prefix.hasRemaining()) {
          return channel.write(prefix);
        }
        if (remaining <= 0) {
          return 0;
        }
        if (!block.hasRemaining()) {
          block.clear();
        }
        int limit = block.limit();
        block.limit((int) Math.min(limit, block.position() + remaining));
        int written = channel.write(block);
        block.limit(limit);
        remaining -= written;
        return written;
      } catch (IOException e) {
        remaining = 0;
        return 0;
      }
    }
  }
}
