/**
 * Idempotency records and dispatch tokens, by which each non-idempotent request is
 * dispatched at most once in the whole fleet.
 */
@NullMarked
package org.plantainspur.core.idempotency;

import org.jspecify.annotations.NullMarked;
