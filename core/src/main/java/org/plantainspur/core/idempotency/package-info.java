/**
 * Idempotency records and dispatch tokens, by which each non-idempotent request runs at
 * most once in the whole fleet.
 */
@NullMarked
package org.plantainspur.core.idempotency;

import org.jspecify.annotations.NullMarked;
