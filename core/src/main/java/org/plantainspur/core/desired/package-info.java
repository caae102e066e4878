/**
 * The desired state that operators write: routes, services, client accounts and limits.
 */
@NullMarked
package org.plantainspur.core.desired;

import org.jspecify.annotations.NullMarked;
