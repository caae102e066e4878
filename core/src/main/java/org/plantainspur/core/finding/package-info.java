/**
 * Findings on invalid input, collected with their place and reported together.
 */
@NullMarked
package org.plantainspur.core.finding;

import org.jspecify.annotations.NullMarked;
