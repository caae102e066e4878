/**
 * Simulates a small fleet with manual clocks and searches random schedules of faults for
 * violations.
 */
@NullMarked
package org.plantainspur.core.schedule;

import org.jspecify.annotations.NullMarked;
