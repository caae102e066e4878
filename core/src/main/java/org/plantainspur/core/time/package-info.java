/**
 * Time as a port: the monotonic clock that all decisions use, and waiting.
 */
@NullMarked
package org.plantainspur.core.time;

import org.jspecify.annotations.NullMarked;
