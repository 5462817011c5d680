package org.carobhoist.server.link;

import org.carobhoist.server.link.proto.LinkFrame;

/** Takes what happens on a link; every call comes from the link's own I/O thread, in order. */
public interface LinkListener {

  /** The peer has said who it is. */
  void onUp(Link link);

  /** A frame has arrived, after the peer's hello. */
  void onFrame(Link link, LinkFrame frame);

  /** The link is gone; no frame follows. */
  void onDown(Link link);
}
