/**
 * The configuration in force and the sequence of changes that leads to it.
 */
@NullMarked
package org.plantainspur.core.configuration;

import org.jspecify.annotations.NullMarked;
