/**
 * What hosts tell each other: which of them live, and how much each account asks for.
 */
@NullMarked
package org.plantainspur.core.fleet;

import org.jspecify.annotations.NullMarked;
