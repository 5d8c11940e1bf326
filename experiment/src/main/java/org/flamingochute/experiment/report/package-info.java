/** Tables, CSV files and plots of measurements. */
package org.flamingochute.experiment.report;
