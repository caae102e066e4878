/**
 * A small HTTP/1.1 server whose handlers also control the connection: reset it, leave it
 * without an answer, truncate an answer, or learn that the client has closed it.
 */
@NullMarked
package org.plantainspur.standins.http;

import org.jspecify.annotations.NullMarked;
