/**
 * Checks that two builds of the hosts work in one fleet; {@code benchmarks/mixed-fleet}
 * starts it.
 */
@NullMarked
package org.plantainspur.standins.upgrade;

import org.jspecify.annotations.NullMarked;
