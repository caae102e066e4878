/**
 * The configuration in force, the log of changes that it results from, and how changes
 * are written, read and accepted.
 */
@NullMarked
package org.plantainspur.core.configuration;

import org.jspecify.annotations.NullMarked;
