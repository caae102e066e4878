/**
 * Measures how memory, message sizes and processor time grow with the size of the fleet.
 */
@NullMarked
package org.plantainspur.benchmarks.slope;

import org.jspecify.annotations.NullMarked;
