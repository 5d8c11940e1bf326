/** The stand-ins as processes that serve HTTP. */
package org.flamingochute.standin.http;
