package org.carobhoist.server.link;

import org.carobhoist.server.link.proto.LinkFrame;

/** Listener for the events of links. The I/O thread of a link calls it, in order of the events. */
public interface LinkListener {

  /** Called when the link is established, after the peer's hello was received. */
  void onUp(Link link);

  /** Called for each frame that is received after the peer's hello. */
  void onFrame(Link link, LinkFrame frame);

  /** Called when the link was closed; no frame follows. */
  void onDown(Link link);
}
