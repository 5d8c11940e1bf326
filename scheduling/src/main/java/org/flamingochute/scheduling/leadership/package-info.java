/** Which entry schedules, and when another one may take over. */
package org.flamingochute.scheduling.leadership;
