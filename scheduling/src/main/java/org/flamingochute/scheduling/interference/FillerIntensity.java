package org.flamingochute.scheduling.interference;

/**
 * Work of the fillers of one image on a worker.
 *
 * @param image image of the fillers
 * @param intensity sum of their paces, where 1 is one filler at full pace
 */
public record FillerIntensity(String image, double intensity) {}
