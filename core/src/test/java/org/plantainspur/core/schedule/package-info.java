/**
 * Searches schedules of a handful of host objects with hand-driven clocks.
 */
@NullMarked
package org.plantainspur.core.schedule;

import org.jspecify.annotations.NullMarked;
