/** Leader election: which node leads, and when another one may take over. */
package org.flamingochute.scheduling.leadership;
