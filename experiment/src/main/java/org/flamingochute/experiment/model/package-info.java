/**
 * Components shared by the simulations: time, random numbers, companies and the fair allocation.
 */
package org.flamingochute.experiment.model;
