/**
 * Routes, admission control and the choice of a target for a request.
 */
@NullMarked
package org.plantainspur.core.routing;

import org.jspecify.annotations.NullMarked;
