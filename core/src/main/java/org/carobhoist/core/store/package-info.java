/** Reading and writing the shards of a shared log that retains the newest record of each key. */
package org.carobhoist.core.store;
