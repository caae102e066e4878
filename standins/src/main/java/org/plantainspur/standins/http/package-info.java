/**
 * A small HTTP/1.1 server for simulated faults. Its handlers can also reset the
 * connection, send no response, truncate a response, and notice that the client has
 * closed the connection.
 */
@NullMarked
package org.plantainspur.standins.http;

import org.jspecify.annotations.NullMarked;
