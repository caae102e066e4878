/**
 * Targets as the platform lists them, what this host knows of each, and the choice among
 * them.
 */
@NullMarked
package org.plantainspur.core.target;

import org.jspecify.annotations.NullMarked;
