/**
 * The millisecond clock that drives every decision.
 */
@NullMarked
package org.plantainspur.core.time;

import org.jspecify.annotations.NullMarked;
