/** Reading and writing the shards of a shared log in which the newest record of each key lasts. */
package org.carobhoist.core.store;
