/**
 * The programs of the demonstration that {@code run-demo} starts.
 */
@NullMarked
package org.plantainspur.standins.demo;

import org.jspecify.annotations.NullMarked;
