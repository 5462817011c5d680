/**
 * Links between the gateways.
 *
 * <p>Frames of peers enter through {@code PeerLinkHandler}; {@code PeerMesh} keeps the links and
 * sends frames. Start with {@code PeerMesh}.
 */
package org.carobhoist.server.gateway.peer;
