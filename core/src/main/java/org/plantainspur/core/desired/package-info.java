/**
 * The desired state as configured by the operators: routes, services, client accounts and
 * limits.
 */
@NullMarked
package org.plantainspur.core.desired;

import org.jspecify.annotations.NullMarked;
