/** Stand-in processes with HTTP interfaces. */
package org.flamingochute.standin.http;
