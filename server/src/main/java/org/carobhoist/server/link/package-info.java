/** Network links between the processes of the system, based on Netty and Protocol Buffers. */
package org.carobhoist.server.link;
