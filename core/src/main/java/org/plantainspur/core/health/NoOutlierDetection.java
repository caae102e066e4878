package org.plantainspur.core.health;

import java.util.Collection;

/**
 * Finds every target healthy. Used as a baseline without outlier detection.
 */
public final class NoOutlierDetection implements OutlierDetector {

	@Override
	public void observe(Observation observation) {
	}

	@Override
	public Assessment assess(String targetId) {
		return Assessment.HEALTHY;
	}

	@Override
	public void readmitted(String targetId) {
	}

	@Override
	public void retain(Collection<String> targetIds) {
	}

}
