/** Links between the system's own processes: Netty and protobuf. */
package org.carobhoist.server.link;
