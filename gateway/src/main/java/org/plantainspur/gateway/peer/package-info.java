/**
 * Communication between hosts, encoded as MessagePack: heartbeats over UDP, and table
 * rows over HTTP.
 */
@NullMarked
package org.plantainspur.gateway.peer;

import org.jspecify.annotations.NullMarked;
