/**
 * An open-loop load tool: it sends requests at their intended times, whether or not
 * earlier ones have been answered.
 */
@NullMarked
package org.plantainspur.standins.load;

import org.jspecify.annotations.NullMarked;
