/**
 * HTTP adapters: the server for callers and the client for targets.
 */
@NullMarked
package org.plantainspur.adapters.http;

import org.jspecify.annotations.NullMarked;
