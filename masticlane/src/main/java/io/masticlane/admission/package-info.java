/**
 * Admission control under load, retry delays and retry budgets.
 */
package io.masticlane.admission;
