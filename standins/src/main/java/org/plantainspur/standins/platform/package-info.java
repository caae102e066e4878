/**
 * A stand-in for the platform: the table, the object store and the host list, held in
 * memory.
 */
@NullMarked
package org.plantainspur.standins.platform;

import org.jspecify.annotations.NullMarked;
