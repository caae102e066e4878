/**
 * The operators' command line.
 */
@NullMarked
package org.plantainspur.operator;

import org.jspecify.annotations.NullMarked;
