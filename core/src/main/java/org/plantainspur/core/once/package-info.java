/**
 * At-most-once dispatch of non-idempotent requests.
 */
@NullMarked
package org.plantainspur.core.once;

import org.jspecify.annotations.NullMarked;
