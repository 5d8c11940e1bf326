/** Whether a node accepts a submitted job or refuses it because its pool is overloaded. */
package org.flamingochute.scheduling.admission;
