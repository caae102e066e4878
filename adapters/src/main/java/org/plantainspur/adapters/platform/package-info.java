/**
 * Adapters for the platform's table, objects and host list, over HTTP with JSON.
 */
@NullMarked
package org.plantainspur.adapters.platform;

import org.jspecify.annotations.NullMarked;
