/**
 * An emulator of targets.
 */
@NullMarked
package org.plantainspur.standins.target;

import org.jspecify.annotations.NullMarked;
