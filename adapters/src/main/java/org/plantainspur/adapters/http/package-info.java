/**
 * HTTP towards callers and targets.
 */
@NullMarked
package org.plantainspur.adapters.http;

import org.jspecify.annotations.NullMarked;
