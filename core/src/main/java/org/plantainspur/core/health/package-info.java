/**
 * Evidence on the health of targets, and their ejection.
 */
@NullMarked
package org.plantainspur.core.health;

import org.jspecify.annotations.NullMarked;
