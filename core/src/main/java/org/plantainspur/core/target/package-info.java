/**
 * Selects the target of each attempt, from the platform's target list and the outcomes
 * that this host has observed.
 */
@NullMarked
package org.plantainspur.core.target;

import org.jspecify.annotations.NullMarked;
