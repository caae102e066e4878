/**
 * HTTP/1.1 towards callers, targets and the store, on Netty.
 */
@NullMarked
package org.plantainspur.gateway.http;

import org.jspecify.annotations.NullMarked;
